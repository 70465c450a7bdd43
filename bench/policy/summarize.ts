/**
 * @module The figures of a run.
 */
import type { RequestRecord, SimulationResult } from "./simulate";

/** The figures of one run. */
export interface RunFigures {
    readonly arrived: number;
    readonly admitted: number;
    /** Share of admitted requests whose first token came inside the target. */
    readonly insideTarget: number;
    readonly firstTokenP95Ms: number;
    readonly firstTokenP99Ms: number;
    /** Requests inside their target a second. */
    readonly goodput: number;
    readonly recomputedTokens: number;
    /** Millionths of the currency for each answer inside its target. */
    readonly costMicrosPerAnswer: number;
    /** Share of its requests that the worst served small account, and the large one, got inside the target. */
    readonly worstSmallServed: number;
    readonly largeServed: number;
}

/**
 * Summarises a run.
 *
 * @param result - What the run gave
 * @param measuredMs - The measured time
 * @returns Its figures
 * @example
 * summarizeRun(simulateCluster(options), size.measuredMs).goodput;
 */
export function summarizeRun(result: SimulationResult, measuredMs: number): RunFigures {
    const admitted = result.records.filter(record => !record.isRefused);
    const inside = admitted.filter(isInside);
    const times = admitted.map(record => record.firstTokenMs ?? Infinity).sort((left, right) => left - right);
    const readQuantile = (share: number) => times[Math.min(times.length - 1, Math.floor(share * times.length))] ?? 0;
    const countServed = (accountName: string) => {
        const own = result.records.filter(({ request }) => request.accountName === accountName);
        return own.length === 0 ? 1 : own.filter(isInside).length / own.length;
    };
    return {
        arrived: result.records.length,
        admitted: admitted.length,
        insideTarget: inside.length / Math.max(1, admitted.length),
        firstTokenP95Ms: readQuantile(0.95),
        firstTokenP99Ms: readQuantile(0.99),
        goodput: (inside.length * 1_000) / measuredMs,
        recomputedTokens: result.recomputedTokens,
        costMicrosPerAnswer: result.costMicros / Math.max(1, inside.length),
        worstSmallServed: Math.min(...[1, 2, 3, 4].map(index => countServed(`small-${index}`))),
        largeServed: countServed("large"),
    };
}

function isInside(record: RequestRecord): boolean {
    return !record.isRefused && record.firstTokenMs !== undefined && record.firstTokenMs <= record.request.targetMs;
}
