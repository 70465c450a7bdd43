/**
 * @module Counts the calls of a node to the platform's store, which are limited and priced.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { TablePort } from "../../ports/table";
import type { WatchedTablePort } from "../../ports/watchedTable";
import type { GatewayMetrics } from "../process/createGatewayMetrics";

/**
 * Wraps tables so that each call is counted by its kind and outcome.
 *
 * @param tables - The tables of the store
 * @param metrics - Gets the counts
 * @returns Tables with the same behaviour
 * @example
 * const tables = createCountedTables(platform.tables, metrics);
 */
export function createCountedTables(
    tables: TablePort & WatchedTablePort,
    metrics: Pick<GatewayMetrics, "countStoreCall">,
): TablePort & WatchedTablePort {
    const countCall = async <T>(call: string, whenAnswered: Promise<Result<T, Failure>>) => {
        const result = await whenAnswered;
        metrics.countStoreCall(call, result.isOk() ? "ok" : result.error.kind);
        return result;
    };
    return {
        readTable: table => countCall(`read ${table}`, tables.readTable(table)),
        waitForChanges: (table, revision, waitMs) =>
            countCall(`watch ${table}`, tables.waitForChanges(table, revision, waitMs)),
        readRow: key => countCall("read row", tables.readRow(key)),
        listRows: (prefix, options) => countCall("list rows", tables.listRows(prefix, options)),
        commitTransaction: transaction => countCall("commit", tables.commitTransaction(transaction)),
    };
}
