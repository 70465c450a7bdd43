/**
 * @module Applies changed settings while the process runs.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { Log } from "../../base/log/log";
import { ControlSignal, type ProcessSignals } from "../../base/processSignals";
import type { GatewaySettings } from "../../model/gateway";
import { FailureOwner, type FailureReporter } from "./createFailureReporter";

/** Period of reading the settings file: it may change without a signal, and is small enough to be read each time. */
const POLL_PERIOD_MS = 2_000;

/** Why the settings are read. The value appears in log lines. */
enum ReloadReason {
    Signal = "signal",
    Changed = "changed file",
}

/** Where the settings are read, the signals of the process, and the log. */
export interface SettingsWatchOptions {
    readonly readSettings: () => Result<GatewaySettings, Failure>;
    readonly signals: Pick<ProcessSignals, "setHandler">;
    readonly log: Log;
    /** Receives what reading or comparing the settings throws; those in force stay. */
    readonly reportFailure: FailureReporter;
}

/** The settings in force, mutable: fields that may change while the process runs are replaced in place. */
export type LiveSettings = { -readonly [Name in keyof GatewaySettings]: GatewaySettings[Name] };

/**
 * Watches the settings, and reads them at once on SIGHUP. Changed bounds and regions are applied; other changes, such
 * as addresses and names, take effect at the next start, and a log line names them. If the settings can't be read,
 * those in force stay.
 *
 * @param settings - The settings in force; changed in place
 * @param watch - Where they are read, the signals, and the log
 * @example
 * watchSettings(settings, { readSettings, signals, log, reportFailure });
 */
export function watchSettings(settings: LiveSettings, watch: SettingsWatchOptions): void {
    const { readSettings, signals, log, reportFailure } = watch;
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
    const tryRefresh = (reason: ReloadReason) => {
        try {
            refresh(reason);
        } catch (error) {
            reportFailure(FailureOwner.Settings, error);
        }
    };
    signals.setHandler(ControlSignal.HangUp, () => tryRefresh(ReloadReason.Signal));
    setInterval(() => tryRefresh(ReloadReason.Changed), POLL_PERIOD_MS).unref();
}

/** Lists the names of the settings that differ. */
function listChanges(before: GatewaySettings, after: Partial<GatewaySettings>): readonly string[] {
    return Object.entries(after)
        .filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(before[name as keyof GatewaySettings]))
        .map(([name]) => name);
}
