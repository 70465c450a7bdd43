/**
 * @module Load reports that lag.
 */
import type { Clock } from "../../base/clock";
import { KEPT_LOAD_SAMPLES, LOAD_SAMPLE_MS } from "../constants";

/** Samples of a load, old ones included. */
export interface LoadHistory<T> {
    /** Takes a sample if the last one is old enough. */
    recordSample(): void;
    /** Gives the newest sample that is at least `lagMs` old, and its age; the oldest if none is. */
    readSample(lagMs: number): { readonly sample: T; readonly ageMs: number };
}

/**
 * Creates a history that starts with one sample.
 *
 * @param clock - The clock
 * @param measureLoad - Measures the load now
 * @returns The history
 * @example
 * const history = createLoadHistory(clock, () => measureEngineLoad(engine));
 */
export function createLoadHistory<T>(clock: Clock, measureLoad: () => T): LoadHistory<T> {
    const samples = [{ atMs: clock.readMonotonicMs(), sample: measureLoad() }];
    return {
        recordSample: () => {
            const nowMs = clock.readMonotonicMs();
            if (nowMs - (samples.at(-1)?.atMs ?? -Infinity) >= LOAD_SAMPLE_MS) {
                samples.push({ atMs: nowMs, sample: measureLoad() });
                samples.splice(0, samples.length - KEPT_LOAD_SAMPLES);
            }
        },
        readSample: lagMs => {
            const nowMs = clock.readMonotonicMs();
            if (lagMs <= 0) {
                return { sample: measureLoad(), ageMs: 0 };
            }
            const found = samples.findLast(entry => nowMs - entry.atMs >= lagMs) ?? samples[0];
            return { sample: found?.sample ?? measureLoad(), ageMs: nowMs - (found?.atMs ?? nowMs) };
        },
    };
}
