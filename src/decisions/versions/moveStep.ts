/**
 * @module What the holder of a move can do next.
 */

/** The kinds of steps. */
export enum MoveStepKind {
    /** Nothing now. */
    Wait = "wait",
    /** Record the beginning and give the new version its first share. */
    Begin = "begin",
    /** Raise the share. */
    Raise = "raise",
    /** The move is done: the new version becomes the service's version. */
    Finish = "finish",
    /** All traffic returns to the old version, for good. */
    RollBack = "take_back",
}

/** A step and why. */
export interface MoveStep {
    readonly kind: MoveStepKind;
    /** The share after the step. */
    readonly share: number;
    /** A sentence for operators. */
    readonly reason: string;
}

/** What the decision rests on, beside the move itself. */
export interface MoveFacts {
    /** Epoch milliseconds. */
    readonly nowWallMs: number;
    /** A sentence on the fault that some node has seen; absent while there is none. */
    readonly fault?: string;
    /** Attempts on the new version since the newest step, over all nodes. */
    readonly attemptsSinceStep: number;
    /** Attempts on the old version since the newest step, over all nodes. */
    readonly oldAttemptsSinceStep: number;
    /** Routes that count and were seen too little on the new version. */
    readonly unseenRoutes: readonly string[];
    /** Largest share that the new version's endpoints can carry now, 0 to 1. */
    readonly supportableShare: number;
}
