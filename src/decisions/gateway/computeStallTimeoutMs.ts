/**
 * @module Computes when a stream counts as stalled.
 */
import type { GatewayRoute } from "../../model/gateway";

/** Callers wait for an event at least this long, whatever the route. */
const PATIENCE_MIN_MS = 2_000;
/** Callers wait for so many times the objective of the route, or the target of its pauses, if that is longer. */
const OBJECTIVE_FACTOR = 4;
const GAP_FACTOR = 8;

/**
 * Computes the time without an event after which a stream is stalled: its caller would leave by then. Before, a silent
 * endpoint may only be slow; it may not drop the request when its connection closes, and the request would be executed
 * by two endpoints at once if it went on elsewhere.
 *
 * @param route - The stream's route
 * @returns The time in milliseconds
 * @example
 * computeStallTimeoutMs(route); //=> 3_200
 */
export function computeStallTimeoutMs(route: Pick<GatewayRoute, "objectiveMs" | "gapTargetMs">): number {
    return Math.max(PATIENCE_MIN_MS, route.objectiveMs * OBJECTIVE_FACTOR, route.gapTargetMs * GAP_FACTOR);
}
