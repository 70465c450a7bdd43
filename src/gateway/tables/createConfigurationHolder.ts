/**
 * @module The configuration in force at this node, and the time since the store last confirmed it.
 */
import type { Clock } from "../../base/clock";
import type { DumpSource } from "../../base/dump";
import { computeElapsedMs, type Instant, readInstant } from "../../base/instant";
import type { Log } from "../../base/log/log";
import { buildRouteTable, type RouteTable } from "../../decisions/gateway/routeTable";
import type { GatewayAccount, GatewayConfiguration, GatewayService } from "../../model/gateway";

/** A configuration with its lookup tables. */
export interface ConfigurationView {
    readonly configuration: GatewayConfiguration;
    readonly routes: RouteTable;
    readonly accountsByKey: ReadonlyMap<string, GatewayAccount>;
    readonly services: ReadonlyMap<string, GatewayService>;
}

/** Holds the newest configuration that the node has read. */
export interface ConfigurationHolder extends DumpSource {
    /** Gives the configuration in force; `undefined` until the first one was read. */
    readCurrent(): ConfigurationView | undefined;
    /** Puts a configuration in force unless the one in force is as new or newer. */
    applyConfiguration(configuration: GatewayConfiguration): void;
    /** Records that the configuration in force was the newest one at this moment; an earlier one changes nothing. */
    recordConfirmation(at: Instant): void;
    /**
     * Records that the store holds a configuration that can't be read, or none any more. The one in force stays, but is not
     * confirmed until one can be read again: its keys may have been revoked.
     */
    recordUnreadable(): void;
    /** Computes how long ago the store last confirmed the configuration; infinite if it never did. */
    computeAgeMs(): number;
    /** Calls `handle` for each new configuration, and at once if one is in force. */
    watchConfiguration(handle: (view: ConfigurationView) => void): void;
}

/**
 * Creates a holder without a configuration.
 *
 * @param clock - Measures the time since the last confirmation
 * @param log - Gets a line for each new configuration
 * @returns The holder
 * @example
 * holder.readCurrent()?.configuration.version;
 */
export function createConfigurationHolder(clock: Clock, log: Log): ConfigurationHolder {
    const watchers: ((view: ConfigurationView) => void)[] = [];
    let current: ConfigurationView | undefined;
    let confirmedAt: Instant | undefined;
    let isSuperseded = false;
    const computeAgeMs = () =>
        confirmedAt === undefined ? Number.POSITIVE_INFINITY : computeElapsedMs(confirmedAt, readInstant(clock));
    return {
        name: "configuration",
        dumpState: () => ({
            version: current?.configuration.version,
            confirmedAgeMs: computeAgeMs(),
            routes: current?.configuration.routes,
            services: current?.configuration.services,
            accounts: current?.configuration.accounts?.map(({ name, quotaPerSecond }) => ({ name, quotaPerSecond })),
        }),
        readCurrent: () => current,
        applyConfiguration: configuration => {
            const before = current?.configuration.version;
            isSuperseded = false;
            if (before !== undefined && configuration.version <= before) {
                if (configuration.version < before) {
                    log.warn("older configuration ignored", { version: configuration.version, keptVersion: before });
                }
                return;
            }
            current = buildView(configuration);
            log.info("configuration applied", {
                version: configuration.version,
                before,
                routes: configuration.routes.length,
                accounts: configuration.accounts?.length,
                skippedEntries: configuration.skippedEntries,
            });
            const view = current;
            watchers.forEach(handle => handle(view));
        },
        recordConfirmation: at => {
            if (!isSuperseded && (confirmedAt === undefined || at.monotonicMs >= confirmedAt.monotonicMs)) {
                confirmedAt = at;
            }
        },
        recordUnreadable: () => {
            isSuperseded = true;
        },
        computeAgeMs,
        watchConfiguration: handle => {
            watchers.push(handle);
            if (current !== undefined) {
                handle(current);
            }
        },
    };
}

function buildView(configuration: GatewayConfiguration): ConfigurationView {
    return {
        configuration,
        routes: buildRouteTable(configuration.routes),
        accountsByKey: new Map(
            (configuration.accounts ?? []).flatMap(account => account.keys.map(key => [key, account] as const)),
        ),
        services: new Map(configuration.services.map(service => [service.name, service])),
    };
}
