/**
 * @module Cluster time: the Unix time that all nodes agree on.
 *
 * The wall clock of a machine may be set at any time, but the store's clock is monotonic. The nodes agree once on the
 * offset between Unix time and the store's clock; from then on each node derives the time from the store's clock.
 */
import type { Clock } from "../../base/clock";

/** Number of recent answers of the store among which the one with the least network delay is used. */
const SAMPLE_COUNT = 16;

/** The agreed time, and what it is derived from. */
export interface ClusterTime {
    /** Gives Unix milliseconds; those of this machine's wall clock until the offset is agreed. */
    readClusterMs(): number;
    /** Records the store's clock from an answer that has just arrived. */
    recordStoreClock(storeNowMs: number): void;
    /** Estimates the store's clock; `undefined` before the first answer of the store. */
    readStoreMs(): number | undefined;
    /** Measures the offset by this machine's wall clock; `undefined` before the first answer of the store. */
    measureOffsetMs(): number | undefined;
    /** Sets the offset that all nodes agreed on. */
    setAgreedOffset(offsetMs: number): void;
    hasAgreedOffset(): boolean;
}

/**
 * Creates the cluster time of a node, without an agreed offset.
 *
 * @param clock - This machine's clocks
 * @returns The cluster time
 * @example
 * Math.floor(clusterTime.readClusterMs() / windowMs);
 */
export function createClusterTime(clock: Clock): ClusterTime {
    let samples: readonly number[] = [];
    let agreedOffsetMs: number | undefined;
    const readStoreMs = () => {
        const storeAheadMs = samples.length === 0 ? undefined : Math.max(...samples);
        return storeAheadMs === undefined ? undefined : clock.readMonotonicMs() + storeAheadMs;
    };
    return {
        readClusterMs: () => {
            const storeMs = readStoreMs();
            return storeMs === undefined || agreedOffsetMs === undefined
                ? clock.readWallMs()
                : storeMs + agreedOffsetMs;
        },
        recordStoreClock: storeNowMs => {
            samples = [...samples.slice(1 - SAMPLE_COUNT), storeNowMs - clock.readMonotonicMs()];
        },
        readStoreMs,
        measureOffsetMs: () => {
            const storeMs = readStoreMs();
            return storeMs === undefined ? undefined : clock.readWallMs() - storeMs;
        },
        setAgreedOffset: offsetMs => {
            agreedOffsetMs = offsetMs;
        },
        hasAgreedOffset: () => agreedOffsetMs !== undefined,
    };
}
