/**
 * @module Chooses among endpoints whose pace is known, so that nodes with the same old reports don't all choose one.
 */
import type { Random } from "../../base/random";
import type { EndpointView } from "./chooseEndpoint";
import { USUAL_PACE } from "./endpointPace";

/** Approximate age of the reports of other nodes, in milliseconds. */
const REPORT_AGE_MS = 500;
/**
 * By how much the estimate of an endpoint grows while all nodes choose it for the age of the reports, in multiples of
 * that age and of the slots that other nodes occupy. Estimates that differ by less may be wrong about which is better.
 */
const GROWTH_FACTOR = 6;

/** Share of slots occupied by other nodes from which only one endpoint is drawn. */
const SECOND_DRAW_SHARE_MAX = 0.6;

/** An endpoint with its estimate. */
export interface PacedCandidate {
    readonly view: EndpointView;
    /** Estimated time until its response begins, with all penalties. */
    readonly estimateMs: number;
    /** The same estimate if the endpoint were idle at its usual pace and no answer had been slow. */
    readonly idleMs: number;
}

/**
 * Draws an endpoint. Those that would be as good as the best one if they were idle get a chance that falls with their
 * estimate, the more slowly the more other nodes do there, since their part of the estimate is old. Of two draws the
 * one with the lower pace counts, while there is room: nodes know different reports of the pace, so this leads them to different endpoints.
 *
 * @param candidates - The endpoints
 * @param tieRangeMs - Estimates within this range count as equal in any case
 * @param random - Source of randomness
 * @returns The endpoint's id; `undefined` without candidates
 * @example
 * drawPacedEndpoint(candidates, 4, random);
 */
export function drawPacedEndpoint(
    candidates: readonly PacedCandidate[],
    tieRangeMs: number,
    random: Random,
): string | undefined {
    const bestMs = Math.min(...candidates.map(({ estimateMs }) => estimateMs));
    const best = candidates.find(({ estimateMs }) => estimateMs === bestMs);
    if (best === undefined) {
        return undefined;
    }
    const alike = candidates.filter(({ idleMs }) => idleMs <= best.idleMs + tieRangeMs);
    const othersShare =
        alike.reduce((sum, { view }) => sum + (view.othersInFlight ?? 0) / Math.max(1, view.slots), 0) / alike.length;
    const rangeMs = tieRangeMs + GROWTH_FACTOR * REPORT_AGE_MS * othersShare;
    const weights = alike.map(
        ({ view, estimateMs }) =>
            (Math.max(0, bestMs + rangeMs - estimateMs) * Math.max(1, view.slots)) / (view.pace ?? USUAL_PACE),
    );
    const first = alike[drawIndex(weights, random)] ?? best;
    // While endpoints are nearly full, a steady small difference of pace must not lead most requests to the faster one.
    const second = othersShare < SECOND_DRAW_SHARE_MAX ? (alike[drawIndex(weights, random)] ?? best) : first;
    return (second.view.pace ?? USUAL_PACE) < (first.view.pace ?? USUAL_PACE) ? second.view.id : first.view.id;
}

/** Draws an index with a chance in proportion to its weight; the sum of the weights is positive. */
function drawIndex(weights: readonly number[], random: Random): number {
    let left = random.drawFraction() * weights.reduce((sum, weight) => sum + weight, 0);
    return weights.findIndex(weight => {
        left -= weight;
        return left < 0;
    });
}
