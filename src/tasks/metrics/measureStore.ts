/**
 * @module Metrics of calls to the platform's table and object store.
 */
import type { Result } from "neverthrow";
import type { Clock } from "../../base/clock";
import type { Failure } from "../../base/failure";
import { Metric } from "../../base/metrics/metric";
import type { Metrics } from "../../base/metrics/metrics";
import type { ObjectsPort } from "../../ports/objects";
import type { TablePort } from "../../ports/table";

type CallResult<T> = Promise<Result<T, Failure>>;

/**
 * Wraps a table to count and time its calls. Results are passed through unchanged.
 *
 * @param table - The table
 * @param metrics - Where calls are counted and timed
 * @param clock - The clock that times the calls
 * @returns The wrapped table
 * @example
 * const table = measureTable(createHttpTable(...), metrics, clock);
 */
export function measureTable(table: TablePort, metrics: Metrics, clock: Clock): TablePort {
    const measureCall = createCallMeter(metrics, clock);
    return {
        readRow: key => measureCall("table_read", () => table.readRow(key)),
        listRows: (prefix, options) => measureCall("table_list", () => table.listRows(prefix, options)),
        commitTransaction: transaction => measureCall("table_commit", () => table.commitTransaction(transaction)),
    };
}

/**
 * Wraps an object store to count and time its calls. Results are passed through unchanged.
 *
 * @param objects - The object store
 * @param metrics - Where calls are counted and timed
 * @param clock - The clock that times the calls
 * @returns The wrapped object store
 * @example
 * const objects = measureObjects(createHttpObjects(...), metrics, clock);
 */
export function measureObjects(objects: ObjectsPort, metrics: Metrics, clock: Clock): ObjectsPort {
    const measureCall = createCallMeter(metrics, clock);
    return {
        writeObject: (key, body) => measureCall("object_write", () => objects.writeObject(key, body)),
        readObject: (key, range) => measureCall("object_read", () => objects.readObject(key, range)),
        deleteObject: key => measureCall("object_delete", () => objects.deleteObject(key)),
        listObjects: (prefix, options) => measureCall("object_list", () => objects.listObjects(prefix, options)),
    };
}

function createCallMeter(
    metrics: Metrics,
    clock: Clock,
): <T>(operation: string, call: () => CallResult<T>) => CallResult<T> {
    return async (operation, call) => {
        const startedMs = clock.readMonotonicMs();
        const result = await call();
        metrics.recordTime(Metric.StoreTime, clock.readMonotonicMs() - startedMs, { operation });
        metrics.count(Metric.StoreOperations, { operation, outcome: result.isOk() ? "ok" : result.error.kind });
        return result;
    };
}
