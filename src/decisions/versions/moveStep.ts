/**
 * @module The steps of a version move.
 *
 * A version move is the gradual rollout of a new version of a service. One node, the holder, decides its steps.
 */

/** Kinds of steps. */
export enum MoveStepKind {
    /** Do nothing now. */
    Wait = "wait",
    /** Start the move: the new version receives its first share. */
    Begin = "begin",
    /** Raise the new version's share. */
    Raise = "raise",
    /** Complete the move: the new version becomes the service's version. */
    Finish = "finish",
    /** Roll the move back for good: all traffic returns to the old version. */
    RollBack = "take_back",
}

/** A step and its reason. */
export interface MoveStep {
    readonly kind: MoveStepKind;
    /** The new version's share after the step. */
    readonly share: number;
    /** A sentence for operators. */
    readonly reason: string;
}

/** Input of the decision, in addition to the move itself. */
export interface MoveFacts {
    /** Epoch milliseconds. */
    readonly nowWallMs: number;
    /** Description of the fault that a node has detected, if any. */
    readonly fault?: string;
    /** Attempts on the new version since the previous step, summed over all nodes. */
    readonly attemptsSinceStep: number;
    /** Attempts on the old version since the previous step, summed over all nodes. */
    readonly oldAttemptsSinceStep: number;
    /** Routes with significant traffic that have too few attempts on the new version. */
    readonly unseenRoutes: readonly string[];
    /** Largest share that the new version's endpoints can currently serve, 0 to 1. */
    readonly supportableShare: number;
}
