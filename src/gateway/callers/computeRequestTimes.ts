/**
 * @module The times at which a request ends without an answer.
 */
import type { GatewayRoute } from "../../model/gateway";
import type { CallerRequestHead } from "../../ports/forwardingCodec";

/** Upper limit of the deadline that a caller may state: one day. */
const DEADLINE_MAX_MS = 86_400_000;

/** Monotonic times, in milliseconds. */
export interface RequestTimes {
    /** Until then the caller waits; without its own deadline, the route's timeout. */
    readonly deadlineAtMs: number;
    /** Then the gateway gives up: the earlier of the caller's deadline and the route's timeout. */
    readonly timeoutAtMs: number;
}

/**
 * Computes the times of a request.
 *
 * @param route - Its route
 * @param head - What its headers say
 * @param receivedAtMs - Monotonic time at which its headers had arrived
 * @returns The times
 * @example
 * const { timeoutAtMs } = computeRequestTimes(route, head, receivedAtMs);
 */
export function computeRequestTimes(
    route: GatewayRoute,
    head: Pick<CallerRequestHead, "deadlineMs">,
    receivedAtMs: number,
): RequestTimes {
    const deadlineAtMs = receivedAtMs + Math.min(head.deadlineMs ?? route.timeoutMs, DEADLINE_MAX_MS);
    return { deadlineAtMs, timeoutAtMs: Math.min(deadlineAtMs, receivedAtMs + route.timeoutMs) };
}
