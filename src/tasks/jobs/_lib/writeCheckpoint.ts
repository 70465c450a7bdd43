/**
 * @module Stores the tokens generated so far outside the node, where the expected saving exceeds the cost.
 */
import { type Step, waitFor } from "../../../base/csp";
import { decideCheckpoint } from "../../../decisions/outcomes/jobs/decideCheckpoint";
import { waitForStore } from "../../../ports/waitForStore";
import { CHECKPOINT_PRICES } from "../constants";
import type { JobRun, SharedJobState } from "./sharedJobState";
import { buildCheckpointKey } from "./buildCheckpointKey";

/**
 * Writes a checkpoint if the expected saving exceeds its cost. Every checkpoint is a valid prefix of the answer, so an
 * older one that overwrites a newer one only causes some tokens to be generated again.
 *
 * @param shared - State of the job task
 * @param run - Run of the job
 * @param lossChance - Probability, from 0 to 1, that the tokens are lost without the checkpoint
 * @example
 * yield* writeCheckpoint(shared, run, 1);
 */
export function* writeCheckpoint(shared: SharedJobState, run: JobRun, lossChance: number): Step<void> {
    const { clock, objects } = shared.options;
    const { record } = run.job;
    const spentMs = clock.readWallMs() - record.acceptedAtWallMs;
    const isWorthwhile = decideCheckpoint({
        tokensSinceCheckpoint: run.texts.length,
        lossChance,
        isLossFatal: spentMs > record.deadlineWallMs - clock.readWallMs(),
        ...CHECKPOINT_PRICES,
    });
    if (isWorthwhile && record.isIdempotent) {
        const body = Buffer.from(JSON.stringify(run.texts), "utf8");
        yield* waitFor(waitForStore(clock, objects.writeObject(buildCheckpointKey(record.jobId), body)));
        shared.counts.checkpoints++;
    }
}
