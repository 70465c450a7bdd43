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
    const draw = preparePacedDraw(candidates, tieRangeMs);
    if (draw === undefined) {
        return undefined;
    }
    const { best, alike, weights, isCompared } = draw;
    const first = alike[drawIndex(weights, random)] ?? best;
    const second = isCompared ? (alike[drawIndex(weights, random)] ?? best) : first;
    return chooseFaster(first, second).view.id;
}

/** What a draw takes place among. */
export interface PacedDraw {
    readonly best: PacedCandidate;
    /** The endpoints that have a chance, and the weight of each of them. */
    readonly alike: readonly PacedCandidate[];
    readonly weights: readonly number[];
    /** True if two endpoints are drawn and compared by pace, false if only one is drawn. */
    readonly isCompared: boolean;
}

/**
 * Prepares the draw of an endpoint.
 *
 * @param candidates - The endpoints
 * @param tieRangeMs - Estimates within this range count as equal in any case
 * @returns The endpoints that have a chance, with their weights; `undefined` without candidates
 * @example
 * preparePacedDraw(candidates, 4)?.weights;
 */
export function preparePacedDraw(candidates: readonly PacedCandidate[], tieRangeMs: number): PacedDraw | undefined {
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
    // While endpoints are nearly full, a steady small difference of pace must not lead most requests to the faster one.
    return { best, alike, weights, isCompared: othersShare < SECOND_DRAW_SHARE_MAX };
}

/** Chooses the one with the lower pace of two that were drawn; the first if they have the same. `explainChoice` follows. */
function chooseFaster(first: PacedCandidate, second: PacedCandidate): PacedCandidate {
    return (second.view.pace ?? USUAL_PACE) < (first.view.pace ?? USUAL_PACE) ? second : first;
}

/** Draws an index with a chance in proportion to its weight; the sum of the weights is positive. */
function drawIndex(weights: readonly number[], random: Random): number {
    let left = random.drawFraction() * weights.reduce((sum, weight) => sum + weight, 0);
    return weights.findIndex(weight => {
        left -= weight;
        return left < 0;
    });
}
