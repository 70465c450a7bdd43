/**
 * @module Reads what the store has of ordered moves when a node starts: the fleet may have lost it with all its nodes.
 */
import type { Clock } from "../../base/clock";
import type { RolloutRecordsPort } from "../../ports/rolloutRecords";
import type { Rollouts } from "./rollouts";

const RETRY_MS = 400;

/**
 * Reads the records until the store answers. A node without orders reads nothing.
 *
 * @param rollouts - The moves, with the orders of the store
 * @param records - The records
 * @param clock - Measures the pauses
 * @returns Settles once the records were taken
 * @example
 * await loadRolloutRecords(rollouts, platform.rolloutRecords, clock);
 */
export async function loadRolloutRecords(
    rollouts: Pick<Rollouts, "listMoves" | "applyRecords">,
    records: RolloutRecordsPort,
    clock: Pick<Clock, "waitMs">,
): Promise<void> {
    while (rollouts.listMoves().length > 0) {
        const listed = await records.listRecords();
        if (listed.isOk()) {
            rollouts.applyRecords(listed.value);
            return;
        }
        await clock.waitMs(RETRY_MS);
    }
}
