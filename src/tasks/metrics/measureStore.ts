/**
 * @module Measures the calls to the platform's table and object store.
 */
import type { Result } from "neverthrow";
import type { Clock } from "../../base/clock";
import type { Failure } from "../../base/failure";
import { Metric } from "../../base/metrics/metric";
import type { Metrics } from "../../base/metrics/metrics";
import type { ObjectsPort } from "../../ports/objects";
import type { TablePort } from "../../ports/table";

type Answer<T> = Promise<Result<T, Failure>>;

/**
 * Puts measurements around a table. Its answers are passed on unchanged.
 *
 * @param table - The table
 * @param metrics - Where calls are counted and timed
 * @param clock - Times them
 * @returns The measured table
 * @example
 * const table = measureTable(createHttpTable(...), metrics, clock);
 */
export function measureTable(table: TablePort, metrics: Metrics, clock: Clock): TablePort {
    const track = createTracker(metrics, clock);
    return {
        readRow: key => track("table_read", () => table.readRow(key)),
        listRows: (prefix, options) => track("table_list", () => table.listRows(prefix, options)),
        commitTransaction: transaction => track("table_commit", () => table.commitTransaction(transaction)),
    };
}

/**
 * Puts measurements around an object store. Its answers are passed on unchanged.
 *
 * @param objects - The object store
 * @param metrics - Where calls are counted and timed
 * @param clock - Times them
 * @returns The measured object store
 * @example
 * const objects = measureObjects(createHttpObjects(...), metrics, clock);
 */
export function measureObjects(objects: ObjectsPort, metrics: Metrics, clock: Clock): ObjectsPort {
    const track = createTracker(metrics, clock);
    return {
        writeObject: (key, body) => track("object_write", () => objects.writeObject(key, body)),
        readObject: (key, range) => track("object_read", () => objects.readObject(key, range)),
        deleteObject: key => track("object_delete", () => objects.deleteObject(key)),
        listObjects: (prefix, options) => track("object_list", () => objects.listObjects(prefix, options)),
    };
}

function createTracker(metrics: Metrics, clock: Clock): <T>(operation: string, call: () => Answer<T>) => Answer<T> {
    return async (operation, call) => {
        const startedMs = clock.readMonotonicMs();
        const result = await call();
        metrics.recordTime(Metric.StoreTime, clock.readMonotonicMs() - startedMs, { operation });
        metrics.count(Metric.StoreOperations, { operation, outcome: result.isOk() ? "ok" : result.error.kind });
        return result;
    };
}
