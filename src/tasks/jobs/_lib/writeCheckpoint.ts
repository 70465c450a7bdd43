/**
 * @module Keeping the tokens of a job outside of the node, where that is worth its price.
 */
import { type TaskGenerator, waitFor } from "../../../base/csp";
import { decideCheckpoint } from "../../../decisions/outcomes/jobs/decideCheckpoint";
import { waitForStore } from "../../../ports/waitForStore";
import { CHECKPOINT_PRICES } from "../constants";
import type { JobRun, JobShared } from "./jobShared";
import { buildCheckpointKey } from "./buildCheckpointKey";

/**
 * Writes a checkpoint if it is worth its price. Any checkpoint is a true beginning of an answer, so an older one that
 * overwrites a newer one costs tokens and nothing else.
 *
 * @param shared - The job task
 * @param run - The job
 * @param lossChance - Chance that the tokens are lost without it, 0 to 1
 * @example
 * yield* writeCheckpoint(shared, run, 1);
 */
export function* writeCheckpoint(shared: JobShared, run: JobRun, lossChance: number): TaskGenerator<void> {
    const { clock, objects } = shared.options;
    const { record } = run.job;
    const spentMs = clock.readWallMs() - record.acceptedAtWallMs;
    const isWorthwhile = decideCheckpoint({
        tokensSince: run.texts.length,
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
