/**
 * @module Decides whether a node that is about to stop may still take a request.
 */
import { type GatewayRoute, RouteKind } from "../../model/gateway";

/** Time that a request usually needs, in milliseconds. */
const USUAL_DURATION_MS: Readonly<Record<RouteKind, number>> = {
    [RouteKind.Streaming]: 4_000,
    [RouteKind.Idempotent]: 1_500,
    [RouteKind.NonIdempotent]: 1_500,
};

/**
 * Decides whether a request can be ended before the node stops. One that can't is refused at once, so that its caller
 * may send it to another node while there is time.
 *
 * @param route - The request's route
 * @param remainingMs - Time until the node stops
 * @returns True if the request may be taken
 * @example
 * isServableBeforeStop(route, 7_000); //=> true
 */
export function isServableBeforeStop(route: Pick<GatewayRoute, "kind" | "timeoutMs">, remainingMs: number): boolean {
    return remainingMs >= Math.min(route.timeoutMs, USUAL_DURATION_MS[route.kind]);
}
