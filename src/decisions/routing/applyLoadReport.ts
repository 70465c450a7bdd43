/**
 * @module Applying an endpoint's load report.
 */
import type { EndpointLoad } from "../../model/endpoint";
import type { Candidate } from "./candidate";
import {
    CACHE_USE_MINIMUM_REQUESTS,
    CACHE_USE_LIMIT,
    HISTORY_STEPS,
    OTHERS_MEAN_WEIGHT,
    SLOTS_INITIAL_GROWTH_FACTOR,
    SLOTS_FULL_SHARE,
    SLOTS_FULL_WEIGHT,
    SLOTS_GROWTH_FACTOR,
    SLOTS_LIMIT,
    SLOTS_NEARLY_FULL_SHARE,
    TICK_MS,
} from "./constants";

/**
 * Applies a report. This node's own load at the time of the sample is subtracted, which leaves the load from other
 * nodes; the own load is known exactly at any time. Reports with an older sample than the latest one are ignored.
 *
 * @param candidate - The endpoint; changed in place
 * @param load - The report
 * @param nowMs - When it was received, in monotonic milliseconds
 * @example
 * applyLoadReport(candidate, load, clock.readMonotonicMs());
 */
export function applyLoadReport(candidate: Candidate, load: EndpointLoad, nowMs: number): void {
    const sampledAtMs = nowMs - load.ageMs - candidate.networkMs / 2;
    if (candidate.sampledAtMs !== undefined && sampledAtMs < candidate.sampledAtMs) {
        return;
    }
    const step = findStep(sampledAtMs, nowMs);
    const ownInFlight = candidate.history.inFlight[step] ?? 0;
    const ownPrefill = candidate.history.prefillTokens[step] ?? 0;
    const isFirst = candidate.sampledAtMs === undefined;
    candidate.sampledAtMs = sampledAtMs;
    candidate.sampledOwnInFlight = ownInFlight;
    candidate.sampledOthersInFlight = Math.max(0, load.running + load.waiting - ownInFlight);
    candidate.sampledOthersPrefillTokens = Math.max(0, load.pendingPrefillTokens - ownPrefill);
    const weight = isFirst ? 1 : OTHERS_MEAN_WEIGHT;
    candidate.meanOthersInFlight += weight * (candidate.sampledOthersInFlight - candidate.meanOthersInFlight);
    candidate.meanOthersPrefillTokens +=
        weight * (candidate.sampledOthersPrefillTokens - candidate.meanOthersPrefillTokens);
    candidate.othersInFlight = candidate.sampledOthersInFlight;
    candidate.othersPrefillTokens = candidate.sampledOthersPrefillTokens;
    if (load.prefillTokensPerSecond > 0) {
        candidate.prefillTokensPerMs = load.prefillTokensPerSecond / 1_000;
    }
    if (load.tokenGapMs > 0) {
        candidate.tokenGapMs = load.tokenGapMs;
    }
    updateSlots(candidate, load);
}

function findStep(sampledAtMs: number, nowMs: number): number {
    const oldest = Math.floor(nowMs / TICK_MS) - HISTORY_STEPS + 1;
    const step = Math.max(0, oldest, Math.floor(sampledAtMs / TICK_MS));
    return step % HISTORY_STEPS;
}

function updateSlots(candidate: Candidate, load: EndpointLoad): void {
    if (load.waiting > 0 && load.running >= candidate.slots * SLOTS_FULL_SHARE) {
        candidate.hasBeenFull = true;
        candidate.slots = Math.max(
            load.running,
            candidate.slots + SLOTS_FULL_WEIGHT * (load.running - candidate.slots),
        );
    } else if (load.waiting === 0 && load.running >= candidate.slots * SLOTS_NEARLY_FULL_SHARE) {
        const growth = candidate.hasBeenFull ? SLOTS_GROWTH_FACTOR : SLOTS_INITIAL_GROWTH_FACTOR;
        candidate.slots = Math.min(SLOTS_LIMIT, Math.max(load.running, candidate.slots * growth));
    }
    if (load.running >= CACHE_USE_MINIMUM_REQUESTS && load.cacheUse > 0) {
        candidate.slots = Math.min(candidate.slots, (load.running * CACHE_USE_LIMIT) / load.cacheUse);
    }
}
