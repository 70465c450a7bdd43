/**
 * @module State shared by all executions of this node.
 */
import type { RetryBudget } from "../../../decisions/outcomes/retryBudget";
import type { ExecutionDependencies } from "../executionDependencies";
import type { ReclaimPlanner } from "./createReclaimPlanner";

/** Counts for dumps and benchmarks. */
export interface ExecutionCounts {
    requests: number;
    /** Attempts beyond the first of a request, without moves from leaving endpoints. */
    extraAttempts: number;
    hedges: number;
    resumes: number;
    /** Extra attempts that the retry budget did not allow. */
    refusedByBudget: number;
    silentConnections: number;
    recomputedTokens: number;
    cacheMoves: number;
    prefillMoves: number;
    /** Streams that failed since no move could end them by their deadline. */
    shed: number;
    /** Generation events that were discarded, for example those of other attempts. */
    droppedEvents: number;
    /** Token batches of which the part already delivered was removed. */
    trimmedEvents: number;
    cutByShutdown: number;
}

/** State shared by the executions. Each task changes it only between two waits, so changes never interleave. */
export interface ExecutionShared {
    readonly dependencies: ExecutionDependencies;
    readonly counts: ExecutionCounts;
    /** Retry budgets by class and service. */
    readonly budgets: Map<string, RetryBudget>;
    /** Moving average of the tokens of a whole answer, by service. */
    readonly answerTokens: Map<string, number>;
    readonly planner: ReclaimPlanner;
    /** Monotonic milliseconds from which a shutdown may end running requests; absent unless shutting down. */
    drainDeadlineMs: number | undefined;
}
