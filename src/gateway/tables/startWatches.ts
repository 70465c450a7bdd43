/**
 * @module Watches the configuration and the endpoints, and passes their rows on to other nodes.
 */
import type http from "node:http";
import type { Result } from "neverthrow";
import { waitFor } from "../../base/csp/index";
import type { Failure } from "../../base/failure";
import type { GatewayConfiguration } from "../../model/gateway";
import type { WatchedRow } from "../../ports/watchedTable";
import type { ClusterTime } from "./createClusterTime";
import { FailureOwner } from "../process/createFailureReporter";
import { createRelayedTables } from "./createRelayedTables";
import { createRowServer } from "./createRowServer";
import { createTableSnapshot } from "./createTableSnapshot";
import type { GatewayComponents } from "../gatewayComponents";
import type { GatewayPlatform } from "../gatewayPlatform";
import { loadRolloutRecords } from "../rollouts/loadRolloutRecords";
import { startLoop } from "../process/startLoop";
import { startTableWatch } from "./startTableWatch";

/** How long the store may delay its answer while a table does not change (long polling). */
const CONFIGURATION_WAIT_MS = 400;
const ENDPOINTS_WAIT_MS = 800;

/**
 * Starts the watches.
 *
 * @param components - Get the rows
 * @param platform - The tables, and the decoders of their rows
 * @param clusterTime - Gets the store's clock
 * @returns The server of the rows for other nodes; it does not listen yet
 * @example
 * const rowServer = startWatches(components, platform, clusterTime);
 */
export function startWatches(
    components: GatewayComponents,
    platform: GatewayPlatform,
    clusterTime: ClusterTime,
): http.Server {
    const { configuration, directory, evacuations, rollouts, news, clock, random, log, metrics, reportFailure } =
        components;
    const { configurationTable, endpointTable } = platform;
    const port = createRelayedTables({ store: platform.tables, news, clock, random, log });
    const snapshots = {
        [configurationTable]: createTableSnapshot(clock),
        [endpointTable]: createTableSnapshot(clock),
    };
    /** Decodes a row; gives `undefined`, as for a malformed one, if that throws. */
    const decodeRow = <T>(table: string, row: WatchedRow, decode: (row: WatchedRow) => T): T | undefined => {
        try {
            return decode(row);
        } catch (error) {
            reportFailure(FailureOwner.Row, error, { table, key: row.key });
            return undefined;
        }
    };
    const loadRecords = function* () {
        yield* waitFor(loadRolloutRecords(rollouts, platform.rolloutRecords, clock));
    };
    const handleConfiguration = (decoded: Result<GatewayConfiguration, Failure>) => {
        if (decoded.isOk()) {
            configuration.applyConfiguration(decoded.value);
            return;
        }
        configuration.recordUnreadable();
        metrics.countUnreadableConfiguration();
        log.error("configuration unreadable", {
            reason: decoded.error.message,
            keptVersion: configuration.readCurrent()?.configuration.version,
        });
    };
    let hasReadOrders = false;
    startTableWatch({
        table: configurationTable,
        port,
        clock,
        random,
        log,
        waitMs: CONFIGURATION_WAIT_MS,
        handleRows: (rows, isWholeTable) => {
            const decode = <T>(decodeWith: (row: WatchedRow) => T | undefined) =>
                rows.flatMap(row => decodeRow(configurationTable, row, decodeWith) ?? []);
            // Before the configuration: a node that starts must not serve by it without knowing of these orders.
            evacuations.applyChanges(decode(platform.decodeEvacuationRow), isWholeTable);
            const configurations = decode(platform.decodeConfigurationRow);
            configurations.forEach(handleConfiguration);
            if (isWholeTable && configurations.length === 0) {
                configuration.recordUnreadable();
            }
            rollouts.applyOrders(decode(platform.decodeRolloutRow), isWholeTable);
            if (!hasReadOrders) {
                hasReadOrders = true;
                startLoop(FailureOwner.Rollout, loadRecords, { clock, reportFailure });
            }
        },
        handleConfirmation: (askedAt, answer) => {
            configuration.recordConfirmation(askedAt);
            rollouts.recordConfirmation(askedAt);
            clusterTime.recordStoreClock(answer.storeNowMs);
        },
        reportFailure,
        snapshot: snapshots[configurationTable],
    });
    startTableWatch({
        table: endpointTable,
        port,
        clock,
        random,
        log,
        waitMs: ENDPOINTS_WAIT_MS,
        handleRows: (rows, isWholeTable, isStoreRecovering) => {
            const entries = rows.map(row => ({
                id: row.key,
                endpoint: decodeRow(endpointTable, row, platform.decodeEndpointRow),
            }));
            rollouts.recordVersions(
                entries.flatMap(({ endpoint }) => endpoint ?? []),
                !directory.isLoaded(),
            );
            if (isWholeTable) {
                directory.replaceAll(entries, isStoreRecovering);
            } else {
                entries.forEach(entry => directory.applyEntry(entry, isStoreRecovering));
            }
        },
        handleConfirmation: (_askedAt, answer) => clusterTime.recordStoreClock(answer.storeNowMs),
        reportFailure,
        snapshot: snapshots[endpointTable],
    });
    return createRowServer({ snapshots, clusterTime, clock, reportFailure });
}
