/**
 * @module Decides whether a node that is about to stop may still take a request.
 */
import type { StopTimes } from "./computeStopTimes";

/**
 * Decides whether a request is taken. One that came late and may last longer than the node is refused at once, so that
 * its caller may send it to another node while there is time.
 *
 * @param times - The times of the stop
 * @param drainingMs - Time since the signal
 * @param timeoutInMs - Time until the request's timeout, the longest time that it can take
 * @returns True if the request may be taken
 * @example
 * isServableBeforeStop(computeStopTimes(8_000), 3_300, 8_000); //=> false
 */
export function isServableBeforeStop(
    times: Pick<StopTimes, "takesAllMs" | "endsRequestsMs">,
    drainingMs: number,
    timeoutInMs: number,
): boolean {
    return drainingMs <= times.takesAllMs || drainingMs + timeoutInMs <= times.endsRequestsMs;
}
