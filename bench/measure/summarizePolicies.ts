/**
 * @module The four measures of each policy from what was measured.
 */
import { VersionFault } from "../versions/simulateMove";
import { computeScore, type Measures } from "./computeScore";
import type { MeasureWeights } from "./deployments";
import type { MoveFigures } from "./measureMoves";
import { OWN_NAME, type ServingRun } from "./measureServing";
import type { WaveFigures } from "./measureWaves";
import type { ScoredPolicy } from "./measurement";

// No policy can serve this load; without admission nearly every answer comes late and its cost has no meaning.
const OVERLOAD = "1.5";

/**
 * Puts the four measures of every policy side by side.
 *
 * Cost is that of the loads that the cluster can bear. The baselines have no plan for waves: each gets the better of finishing and of prefilling all streams, notice by
 * notice. They move versions by the clock without looking at evidence: every version, good or bad, ends as done.
 *
 * @param serving - Runs of all policies and loads
 * @param waves - Recomputed tokens by notice
 * @param moves - Ends of version moves by fault
 * @param weights - Weights of the deployment
 * @returns One entry for each policy, in the order of the runs
 * @example
 * summarizePolicies(serving, waves, moves, deployment.weights)[0]?.score;
 */
export function summarizePolicies(
    serving: readonly ServingRun[],
    waves: readonly WaveFigures[],
    moves: readonly MoveFigures[],
    weights: MeasureWeights,
): readonly ScoredPolicy[] {
    const names = [...new Set(serving.map(({ policy }) => policy))];
    const versions = sumMoves(moves);
    const measured = names.map(policy => {
        const isOwn = policy === OWN_NAME;
        const runs = serving.filter(run => run.policy === policy);
        const outcomes = isOwn ? versions : { goodDone: 1, badTakenBack: 0 };
        const recomputedTokens = sum(waves.map(wave => (isOwn ? wave.planned : findBestBaseline(wave))));
        return { policy, ...sumServing(runs), recomputedTokens, ...outcomes };
    });
    const servingWeights = { ...weights, goodDone: 0, badTakenBack: 0 };
    return measured.map(own => ({
        ...own,
        score: computeScore(own, measured, weights),
        servingScore: computeScore(own, measured, servingWeights),
    }));
}

/**
 * Finds the fewest tokens that a policy without a plan computes again.
 *
 * @param wave - Figures of one notice
 * @returns Tokens
 * @example
 * findBestBaseline(wave);
 */
export function findBestBaseline(wave: WaveFigures): number {
    return Math.min(wave.alwaysFinish, wave.alwaysPrefill);
}

function sumServing(runs: readonly ServingRun[]) {
    const bearable = runs.filter(run => run.scenario !== OVERLOAD);
    const inside = sum(bearable.map(run => run.insideTarget * run.admitted));
    return {
        costMicros: sum(bearable.map(run => run.costMicros)) / inside,
        worstInsideTarget: Math.min(...bearable.map(run => run.insideTarget)),
        admittedShare: sum(bearable.map(run => run.admitted)) / sum(bearable.map(run => run.arrived)),
    };
}

function sumMoves(moves: readonly MoveFigures[]): Pick<Measures, "goodDone" | "badTakenBack"> {
    const good = moves.filter(({ fault }) => fault === VersionFault.None);
    const bad = moves.filter(({ fault }) => fault !== VersionFault.None);
    return {
        goodDone: sum(good.map(({ done }) => done)) / sum(good.map(({ runs }) => runs)),
        badTakenBack: sum(bad.map(({ takenBack }) => takenBack)) / sum(bad.map(({ runs }) => runs)),
    };
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
