/**
 * @module Estimates when a waiting request would start, and until when it must.
 */
import type { AdmissionRequest, NodeSeats } from "./serviceQueue";

/** Weight of a new sample in the averages of durations. */
const SAMPLE_WEIGHT = 0.1;
/** Mean deviations by which a response is assumed to take longer than the mean. */
const DEVIATIONS = 1.5;
/** A rank that can start fewer than one request in this time counts as one without capacity. */
const RATE_MIN_MS = 10_000;
/** Half-life of the counted arrivals and starts. */
const ARRIVAL_HALF_LIFE_MS = 3_000;
/**
 * Largest share of the time to the objective that a response is assumed to take. Without it, a time with slow
 * responses would end in refusing all, after which no response shows that they are fast again.
 */
const RESPONSE_SHARE_MAX = 0.8;

/** A decreasing count. */
interface DecayingCount {
    readonly value: number;
    readonly atMs: number;
}

/** The estimate for one service at a node. */
export interface StartEstimate {
    /** Records a request that started or began to wait. */
    recordArrival(rank: number, nowMs: number): void;
    /** Records a request that started. */
    recordStart(rank: number, nowMs: number): void;
    recordFirstPart(route: string, milliseconds: number): void;
    recordEnd(milliseconds: number): void;
    /** Estimates the wait with so many requests ahead; infinite if more urgent ones take the whole capacity. */
    estimateWaitMs(rank: number, ahead: number, seats: NodeSeats, nowMs: number): number;
    /** Computes the latest start with which the response is on time. */
    computeLatestStartMs(request: AdmissionRequest): number;
}

/**
 * Creates an estimate; it assumes that nothing takes time until something was observed.
 *
 * @returns The estimate
 * @example
 * estimate.estimateWaitMs(2, 7, { isNearFull: true, seats: 4, running: 4, free: 0 }, nowMs);
 */
export function createStartEstimate(): StartEstimate {
    const arrivals = new Map<number, DecayingCount>();
    const starts = new Map<number, DecayingCount>();
    const responses = new Map<string, { readonly meanMs: number; readonly deviationMs: number }>();
    let seatMs: number | undefined;

    const computeCount = ({ value, atMs }: DecayingCount, nowMs: number) =>
        value * 0.5 ** ((nowMs - atMs) / ARRIVAL_HALF_LIFE_MS);
    const computeRate = (count: DecayingCount, nowMs: number) =>
        (computeCount(count, nowMs) * Math.LN2) / ARRIVAL_HALF_LIFE_MS;
    const addOne = (counts: Map<number, DecayingCount>, rank: number, nowMs: number) => {
        const count = counts.get(rank) ?? { value: 0, atMs: nowMs };
        counts.set(rank, { value: computeCount(count, nowMs) + 1, atMs: nowMs });
    };
    const addSample = (mean: number | undefined, sample: number) =>
        mean === undefined ? sample : mean + SAMPLE_WEIGHT * (sample - mean);
    const computeResponseMs = (route: string) => {
        const { meanMs, deviationMs } = responses.get(route) ?? { meanMs: 0, deviationMs: 0 };
        return meanMs + DEVIATIONS * deviationMs;
    };
    return {
        recordArrival: (rank, nowMs) => addOne(arrivals, rank, nowMs),
        recordStart: (rank, nowMs) => addOne(starts, rank, nowMs),
        recordFirstPart: (route, milliseconds) => {
            const { meanMs, deviationMs } = responses.get(route) ?? { meanMs: milliseconds, deviationMs: 0 };
            responses.set(route, {
                meanMs: addSample(meanMs, milliseconds),
                deviationMs: addSample(deviationMs, Math.abs(milliseconds - meanMs)),
            });
        },
        recordEnd: milliseconds => {
            seatMs = addSample(seatMs, milliseconds);
        },
        estimateWaitMs: (rank, ahead, { seats }, nowMs) => {
            if (seatMs === undefined) {
                return 0;
            }
            const perMs = Math.max(1, seats) / Math.max(1, seatMs);
            const urgentPerMs = [...arrivals]
                .filter(([other]) => other < rank)
                .reduce((sum, [, count]) => sum + computeRate(count, nowMs), 0);
            // What has been left to the rank lately stays a lower bound: the difference of the rates is uncertain.
            const started = starts.get(rank);
            const leftPerMs = Math.max(perMs - urgentPerMs, started === undefined ? 0 : computeRate(started, nowMs));
            return leftPerMs * RATE_MIN_MS <= 1 ? Infinity : (ahead + 1) / leftPerMs;
        },
        computeLatestStartMs: ({ route, objectiveAtMs, objectiveMs }) =>
            objectiveAtMs - Math.min(computeResponseMs(route), objectiveMs * RESPONSE_SHARE_MAX),
    };
}
