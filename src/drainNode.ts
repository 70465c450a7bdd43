/**
 * @module The planned stop of a node.
 */
import type { Clock } from "./base/clock";
import type { CallerListener } from "./faces/callerListener";
import type { OperatorListener } from "./operator/createOperatorListener";
import type { ExecutionTask } from "./tasks/execution/createExecutionTask";
import type { JobTask } from "./tasks/jobs/createJobTask";
import type { MembershipTask } from "./tasks/membership/createMembershipTask";

/** How long the balancer may still send callers after the node has said that it leaves. */
const BALANCER_NOTICE_MS = 3_000;

/** Last part of the drain time, in which requests without an answer are ended with failures; at most a quarter of it. */
const FINAL_ANSWERS_MS = 2_000;

/** The parts of a node that a planned stop concerns. */
export interface DrainedParts {
    readonly clock: Clock;
    readonly membership: Pick<MembershipTask, "leave">;
    readonly jobs: Pick<JobTask, "drain">;
    readonly execution: Pick<ExecutionTask, "drain">;
    readonly callers: CallerListener;
    readonly operators: OperatorListener;
}

/**
 * Drains a node: tells balancer and nodes, hands jobs on, refuses new requests after a moment and finishes those in
 * progress. What has no answer shortly before the bound is ended with a failure.
 *
 * @param parts - The parts of the node
 * @param boundMs - Longest time until it has ended
 * @returns The number of requests that the bound cut
 * @example
 * const cutRequests = await drainNode(parts, 25_000);
 */
export async function drainNode(parts: DrainedParts, boundMs: number): Promise<number> {
    const { clock, callers } = parts;
    const finalMs = Math.min(FINAL_ANSWERS_MS, boundMs / 4);
    const endAtMs = clock.readMonotonicMs() + boundMs;
    const computeRest = (reservedMs: number) => Math.max(0, endAtMs - reservedMs - clock.readMonotonicMs());
    callers.announceLeaving();
    // A job that may not be repeated can take the whole bound; callers' requests finish beside it.
    const handedOn = Promise.allSettled([parts.membership.leave(), parts.jobs.drain(boundMs - finalMs)]);
    await clock.waitMs(Math.min(BALANCER_NOTICE_MS, boundMs - finalMs));
    callers.refuseNew();
    const { cut } = await parts.execution.drain(computeRest(finalMs));
    await callers.waitUntilIdle(computeRest(finalMs));
    const [unanswered] = await Promise.all([
        callers.finish(computeRest(0)),
        parts.operators.finish(Math.min(finalMs, computeRest(0))),
        Promise.race([handedOn, clock.waitMs(computeRest(0))]),
    ]);
    return cut + unanswered;
}
