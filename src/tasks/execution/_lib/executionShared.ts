/**
 * @module What all executions of this node share.
 */
import type { RetryBudget } from "../../../decisions/outcomes/retryBudget";
import type { ExecutionParts } from "../executionParts";
import type { ReclaimPlanner } from "./createReclaimPlanner";

/** Counts for dumps and benches. */
export interface ExecutionCounts {
    requests: number;
    /** Attempts beyond the first of a request, announced moves left out. */
    extraAttempts: number;
    hedges: number;
    resumes: number;
    refusedByBudget: number;
    silentConnections: number;
    recomputedTokens: number;
    cacheMoves: number;
    prefillMoves: number;
    shed: number;
    droppedEvents: number;
    trimmedEvents: number;
    cutByShutdown: number;
}

/** State shared by the executions; changed by their tasks between two waits only. */
export interface ExecutionShared {
    readonly parts: ExecutionParts;
    readonly counts: ExecutionCounts;
    /** By class and service. */
    readonly budgets: Map<string, RetryBudget>;
    /** Running estimate of the tokens of a whole answer, by service. */
    readonly answerTokens: Map<string, number>;
    readonly planner: ReclaimPlanner;
    /** Monotonic milliseconds at which a shutdown may end what is still running; absent unless shutting down. */
    drainUntilMs: number | undefined;
}
