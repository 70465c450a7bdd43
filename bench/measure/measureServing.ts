/**
 * @module Cost, latency and a reclaim wave under our policy and the baselines, by the cluster simulation.
 */
import { BASELINES } from "../policy/baselines";
import { OWN_POLICY } from "../policy/ownPolicy";
import { type ClusterSize, SCENARIOS } from "../policy/settings";
import { type RequestRecord, simulateCluster } from "../policy/simulate";
import { type RunFigures, summarizeRun } from "../policy/summarize";

/** Latency of one class: time to the first token of admitted requests. */
export interface ClassLatency {
    readonly className: string;
    readonly targetMs: number;
    readonly medianMs: number;
    readonly p95Ms: number;
    readonly p99Ms: number;
}

/** Requests that arrived in one second of the measured time. */
export interface TimelineSecond {
    readonly second: number;
    readonly arrived: number;
    /** Admitted and answered inside the target. */
    readonly inside: number;
    /** Admitted and late, or without an answer. */
    readonly late: number;
    readonly refused: number;
    /** Longest time to a first token; undefined if no request got one. */
    readonly worstFirstTokenMs: number | undefined;
}

/** One run of the simulation. */
export interface ServingRun extends RunFigures {
    readonly policy: string;
    readonly scenario: string;
    readonly costMicros: number;
    readonly classes: readonly ClassLatency[];
    readonly timeline: readonly TimelineSecond[];
}

/** Name of our policy in all tables. */
export const OWN_NAME = OWN_POLICY.name;

/**
 * Runs every load under every policy; all policies get the same arrivals.
 *
 * @param size - The cluster
 * @param seed - Seed of arrivals and delays
 * @param runnerCapacity - Requests a second that one runner serves
 * @returns One run for each load and policy, ours first
 * @example
 * measureServing(CLUSTER_SIZES[0], 1, measureCapacity(1));
 */
export function measureServing(size: ClusterSize, seed: number, runnerCapacity: number): readonly ServingRun[] {
    return [OWN_POLICY, ...BASELINES].flatMap(policy =>
        SCENARIOS.map(scenario => {
            const result = simulateCluster({ size, scenario, policy, seed, runnerCapacity });
            return {
                policy: policy.name,
                scenario: scenario.name,
                costMicros: result.costMicros,
                ...summarizeRun(result, size.measuredMs),
                classes: summarizeClasses(result.records),
                timeline: buildTimeline(result.records, size),
            };
        }),
    );
}

function summarizeClasses(records: readonly RequestRecord[]): readonly ClassLatency[] {
    const names = [...new Set(records.map(({ request }) => request.className))].sort();
    return names.map(className => {
        const admitted = records.filter(record => record.request.className === className && !record.isRefused);
        const times = admitted.map(record => record.firstTokenMs ?? Infinity).sort((left, right) => left - right);
        const readQuantile = (share: number) => times[Math.min(times.length - 1, Math.floor(share * times.length))];
        return {
            className,
            targetMs: admitted[0]?.request.targetMs ?? 0,
            medianMs: readQuantile(0.5) ?? 0,
            p95Ms: readQuantile(0.95) ?? 0,
            p99Ms: readQuantile(0.99) ?? 0,
        };
    });
}

function buildTimeline(records: readonly RequestRecord[], size: ClusterSize): readonly TimelineSecond[] {
    return Array.from({ length: Math.ceil(size.measuredMs / 1_000) }, (_unused, second) => {
        const own = records.filter(record => Math.floor((record.arrivedAtMs - size.warmUpMs) / 1_000) === second);
        const refused = own.filter(record => record.isRefused).length;
        const inside = own.filter(isInside).length;
        const times = own.flatMap(record => record.firstTokenMs ?? []);
        return {
            second,
            arrived: own.length,
            inside,
            late: own.length - refused - inside,
            refused,
            worstFirstTokenMs: times.length === 0 ? undefined : Math.max(...times),
        };
    });
}

function isInside({ isRefused, firstTokenMs, request }: RequestRecord): boolean {
    return !isRefused && firstTokenMs !== undefined && firstTokenMs <= request.targetMs;
}
