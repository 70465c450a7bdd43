/**
 * @module Decides what a node does with an open job that it finds in the table.
 */
import { DEADLINE_MARGIN_MS } from "./constants";
import type { OpenJob } from "./jobRecord";

/** What a node does with an open job. */
export enum JobStep {
    /** Do nothing: the job is running, or another node holds it. */
    Leave = "leave",
    /** Run the job, which this node holds but has not started. */
    Run = "run",
    /** Become the holder of the job, which no node holds. */
    Take = "take",
    /** End the job as failed, since its deadline has passed. */
    Expire = "expire",
    /** Become the holder of the job if the lease of its holder, which may be gone, has expired. */
    Adopt = "adopt",
}

/** What this node knows about a job. */
export interface LocalJobContext {
    /** Name of this node's lease; empty if it holds none. */
    readonly holder: string;
    /** Whether this node is running the job. */
    readonly isRunningHere: boolean;
    /** Whether the node that holds the job may be gone, or its lease is to be checked as one of a random sample. */
    readonly isHolderSuspect: boolean;
}

/**
 * Decides what this node does with an open job.
 *
 * @param open - The job's open row
 * @param local - What this node knows about the job
 * @param nowWallMs - Epoch milliseconds
 * @returns What to do
 * @example
 * decideJobStep(open, local, clock.readWallMs()); //=> JobStep.Leave
 */
export function decideJobStep(open: OpenJob, local: LocalJobContext, nowWallMs: number): JobStep {
    if (local.isRunningHere) {
        return JobStep.Leave;
    }
    if (nowWallMs >= open.deadlineWallMs + DEADLINE_MARGIN_MS) {
        return JobStep.Expire;
    }
    if (open.holder === "") {
        return JobStep.Take;
    }
    if (open.holder === local.holder) {
        return JobStep.Run;
    }
    return local.isHolderSuspect ? JobStep.Adopt : JobStep.Leave;
}
