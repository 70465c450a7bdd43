/**
 * @module The configuration in force at a node, and how long ago the store confirmed it.
 */
import type { Clock } from "../base/clock";
import type { DumpSource } from "../base/dump";
import { computeElapsedMs, type Instant, readInstant } from "../base/instant";
import type { Log } from "../base/log/log";
import { buildRouteTable, type RouteTable } from "../decisions/gateway/routeTable";
import type { GatewayAccount, GatewayConfiguration, GatewayService } from "../model/gateway";

/** A configuration, arranged for look-ups. */
export interface ConfigurationView {
    readonly configuration: GatewayConfiguration;
    readonly routes: RouteTable;
    readonly accountsByKey: ReadonlyMap<string, GatewayAccount>;
    readonly services: ReadonlyMap<string, GatewayService>;
}

/** Holds the newest configuration that was seen. */
export interface ConfigurationHolder extends DumpSource {
    /** Gives the configuration in force; absent until the first was read. */
    readCurrent(): ConfigurationView | undefined;
    /** Takes a configuration over unless a newer one is in force. */
    applyConfiguration(configuration: GatewayConfiguration): void;
    /** Notes that the configuration in force was the newest at this moment. */
    recordConfirmation(at: Instant): void;
    /** Computes how long ago the store last confirmed the configuration; infinite if it never did. */
    computeAgeMs(): number;
    /** Calls back at each new configuration, and at once if there is one. */
    watchConfiguration(handle: (view: ConfigurationView) => void): void;
}

/**
 * Creates a holder without a configuration.
 *
 * @param clock - Measures the age of the last confirmation
 * @param log - Gets a line for each configuration
 * @returns The holder
 * @example
 * holder.readCurrent()?.configuration.version;
 */
export function createConfigurationHolder(clock: Clock, log: Log): ConfigurationHolder {
    const watchers: ((view: ConfigurationView) => void)[] = [];
    let current: ConfigurationView | undefined;
    let confirmedAt: Instant | undefined;
    const computeAgeMs = () =>
        confirmedAt === undefined ? Number.POSITIVE_INFINITY : computeElapsedMs(confirmedAt, readInstant(clock));
    return {
        name: "configuration",
        dumpState: () => ({
            version: current?.configuration.version,
            confirmedAgeMs: computeAgeMs(),
            routes: current?.configuration.routes,
            services: current?.configuration.services,
            accounts: current?.configuration.accounts.map(({ name, quotaPerSecond }) => ({ name, quotaPerSecond })),
        }),
        readCurrent: () => current,
        applyConfiguration: configuration => {
            const before = current?.configuration.version;
            if (before !== undefined && configuration.version <= before) {
                return;
            }
            current = buildView(configuration);
            log.info("configuration applied", {
                version: configuration.version,
                before,
                routes: configuration.routes.length,
                accounts: configuration.accounts.length,
            });
            const view = current;
            watchers.forEach(handle => handle(view));
        },
        recordConfirmation: at => {
            confirmedAt = at;
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
            configuration.accounts.flatMap(account => account.keys.map(key => [key, account] as const)),
        ),
        services: new Map(configuration.services.map(service => [service.name, service])),
    };
}
