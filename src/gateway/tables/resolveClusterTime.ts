/**
 * @module The agreement of the nodes on the offset of the cluster time.
 */
import { ulid } from "ulid";
import type { Log } from "../../base/log/log";
import type { TablePort } from "../../ports/table";
import type { ClusterTime } from "./createClusterTime";

/** Key of the row that holds the offset between Unix time and the store's clock. */
const OFFSET_KEY = "time/offset";
const OFFSET_RETRY_MS = 200;

/**
 * Agrees with the other nodes on the offset of the cluster time: the first node that writes its row sets it.
 *
 * @param table - Holds the row
 * @param clusterTime - Gets the offset
 * @param waitMs - Waits between two attempts
 * @param log - Gets a line with the offset
 * @returns When the offset is agreed
 * @example
 * await resolveClusterTime(tables, clusterTime, clock.waitMs, log);
 */
export async function resolveClusterTime(
    table: TablePort,
    clusterTime: ClusterTime,
    waitMs: (ms: number) => Promise<void>,
    log: Log,
): Promise<void> {
    while (!clusterTime.hasAgreedOffset()) {
        const stored = await table.readRow(OFFSET_KEY);
        const measured = clusterTime.measureOffsetMs();
        if (stored.isOk() && stored.value !== undefined) {
            clusterTime.setAgreedOffset(Number(stored.value.value));
            log.info("time agreed", { offsetMs: Number(stored.value.value), measuredMs: measured });
        } else if (stored.isOk() && measured !== undefined) {
            await table.commitTransaction({
                token: ulid(),
                conditions: [{ key: OFFSET_KEY, version: undefined }],
                writes: [{ key: OFFSET_KEY, value: String(measured) }],
            });
        } else {
            await waitMs(OFFSET_RETRY_MS);
        }
    }
}
