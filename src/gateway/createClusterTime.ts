/**
 * @module The time of day that all nodes agree on.
 *
 * The wall clocks of machines may be set at any time; the store's clock is steady. The nodes agree once on the
 * difference between the time of day and the store's clock, and each follows the store's clock.
 */
import type { Clock } from "../base/clock";

/** Answers of the store over which the least delayed one is taken. */
const SAMPLE_COUNT = 16;

/** The agreed time. */
export interface ClusterTime {
    /** Milliseconds since 1970; by this machine's own clock until there is an agreement. */
    readClusterMs(): number;
    /** Notes the store's clock, as an answer that has just arrived tells it. */
    recordStoreClock(storeNowMs: number): void;
    /** Gives the difference as this machine sees it; absent until the store was heard. */
    measureOffsetMs(): number | undefined;
    /** Takes the agreed difference over. */
    setAgreedOffset(offsetMs: number): void;
    hasAgreedOffset(): boolean;
}

/**
 * Creates a clock without an agreement.
 *
 * @param clock - This machine's clocks
 * @returns The clock
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
