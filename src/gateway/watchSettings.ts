/**
 * @module Takes changed settings over while the process runs.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";
import type { Log } from "../base/log/log";
import type { GatewaySettings } from "../model/gateway";

/** The file may change without a signal; it is small, so it is simply read again. */
const POLL_PERIOD_MS = 2_000;

/** Why the settings are read. */
enum ReloadReason {
    Signal = "signal",
    Changed = "changed file",
}

/** What is watched and told. */
export interface SettingsWatchOptions {
    readonly readSettings: () => Result<GatewaySettings, Failure>;
    readonly log: Log;
}

/** Settings in force; the fields that may change while the process runs are replaced in place. */
export type LiveSettings = { -readonly [Name in keyof GatewaySettings]: GatewaySettings[Name] };

/**
 * Watches the settings, and reads them at once on SIGHUP. Bounds and regions are taken over; addresses and
 * names only at the next start, which is logged. Settings that can't be read leave those in force as they are.
 *
 * @param settings - The settings in force; changed in place
 * @param watch - Where they come from
 * @example
 * watchSettings(settings, { readSettings, log });
 */
export function watchSettings(settings: LiveSettings, watch: SettingsWatchOptions): void {
    const { readSettings, log } = watch;
    let lastText = JSON.stringify(settings);
    const refresh = (reason: ReloadReason) => {
        const read = readSettings();
        if (read.isErr()) {
            log.warn("settings not readable", { reason: read.error.message });
            return;
        }
        const text = JSON.stringify(read.value);
        if (text === lastText) {
            if (reason === ReloadReason.Signal) {
                log.info("settings unchanged", { reason });
            }
            return;
        }
        lastText = text;
        const { bounds, regions, ...startOnly } = read.value;
        const needsStart = listChanges(settings, startOnly);
        Object.assign(settings, { bounds, regions });
        log.info("settings reloaded", { reason, needsStart: needsStart.join(",") });
    };
    process.on("SIGHUP", () => refresh(ReloadReason.Signal));
    setInterval(() => refresh(ReloadReason.Changed), POLL_PERIOD_MS).unref();
}

function listChanges(before: GatewaySettings, after: Partial<GatewaySettings>): readonly string[] {
    return Object.entries(after)
        .filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(before[name as keyof GatewaySettings]))
        .map(([name]) => name);
}
