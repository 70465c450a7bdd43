/**
 * @module What a node does with an open job that it finds in the table.
 */
import { DEADLINE_MARGIN_MS } from "./constants";
import type { OpenJob } from "./jobRecord";

/** What to do. */
export enum JobStep {
    /** Another node works on it. */
    Leave = "leave",
    /** This node holds it and does not work on it yet. */
    Run = "run",
    /** Nobody holds it. */
    Take = "take",
    /** Its deadline has passed; end it visibly. */
    Expire = "expire",
    /** Another node holds it that may be gone; take it if that node's lease has lapsed. */
    Adopt = "adopt",
}

/** What the node knows. */
export interface LocalJobContext {
    /** Name of this node's lease; empty while it holds none. */
    readonly holder: string;
    readonly isRunningHere: boolean;
    /** Whether the holder's node is believed gone, or is to be checked now all the same. */
    readonly isHolderSuspect: boolean;
}

/**
 * Decides about an open job.
 *
 * @param open - The job's open row
 * @param viewer - What the node knows
 * @param nowWallMs - Epoch milliseconds
 * @returns What to do
 * @example
 * decideJobStep(open, viewer, clock.readWallMs()); //=> JobStep.Leave
 */
export function decideJobStep(open: OpenJob, viewer: LocalJobContext, nowWallMs: number): JobStep {
    if (viewer.isRunningHere) {
        return JobStep.Leave;
    }
    if (nowWallMs >= open.deadlineWallMs + DEADLINE_MARGIN_MS) {
        return JobStep.Expire;
    }
    if (open.holder === "") {
        return JobStep.Take;
    }
    if (open.holder === viewer.holder) {
        return JobStep.Run;
    }
    return viewer.isHolderSuspect ? JobStep.Adopt : JobStep.Leave;
}
