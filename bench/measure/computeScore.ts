/**
 * @module The weighted score of the four measures.
 */
import type { MeasureWeights } from "./deployments";

/** The four measures of one policy at one deployment. */
export interface Measures {
    /** Millionths of the currency for each answer inside its latency target. */
    readonly costMicros: number;
    /** Tokens computed again in reclaim waves. */
    readonly recomputedTokens: number;
    /** Share of good versions that were done in time, 0 to 1. */
    readonly goodDone: number;
    /** Share of bad versions that were taken back, 0 to 1. */
    readonly badTakenBack: number;
}

/** The formula of the score, for people. */
export const SCORE_FORMULA =
    "score = 100 * (wCost * lowestCost / cost + wRecomputed * fewestRecomputed / recomputed + wGood * goodDone + " +
    "wBad * badTakenBack) / (wCost + wRecomputed + wGood + wBad); lowest and fewest over all policies compared; " +
    "cost: VMs and volume over answers inside their target, loads 0.7, 1.0 and wave; recomputed: sum over the notices";

/**
 * Computes the score of one policy among others.
 *
 * @param own - Its measures
 * @param all - The measures of all policies compared, its own included
 * @param weights - The weights of the deployment
 * @returns 0 to 100; 100 if no other policy is better in any measure and all versions ended as they should
 * @example
 * computeScore(own, [own, other], { cost: 0.2, recomputed: 0.2, goodDone: 0.3, badTakenBack: 0.3 });
 */
export function computeScore(own: Measures, all: readonly Measures[], weights: MeasureWeights): number {
    const { cost, recomputed, goodDone, badTakenBack } = weights;
    const lowestCost = Math.min(...all.map(measures => measures.costMicros));
    const fewest = Math.min(...all.map(measures => measures.recomputedTokens));
    const sum =
        cost * compareToBest(lowestCost, own.costMicros) +
        recomputed * compareToBest(fewest, own.recomputedTokens) +
        goodDone * own.goodDone +
        badTakenBack * own.badTakenBack;
    return (100 * sum) / (cost + recomputed + goodDone + badTakenBack);
}

/** 1 if the own figure is the best, also if both are 0. */
function compareToBest(best: number, own: number): number {
    return own <= best ? 1 : best / own;
}
