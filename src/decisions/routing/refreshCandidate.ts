/**
 * @module Refreshing the estimates of a candidate.
 */
import { VmRole } from "../../model/endpoint";
import type { Candidate } from "./candidate";
import {
    BIAS_DECAY,
    HISTORY_STEPS,
    OTHERS_IN_FLIGHT_DECAY_MS,
    OTHERS_PREFILL_DECAY_MS,
    CROSS_REGION_TRANSFER_MICROS,
    TICK_MS,
} from "./constants";

/**
 * Updates the time-dependent values of a candidate; called once per tick. The estimated load of other nodes moves from
 * the reported value towards its mean as the report ages, so that an endpoint reported idle doesn't attract requests
 * until the next report.
 *
 * @param candidate - The endpoint; changed in place
 * @param nowMs - Now, in monotonic milliseconds
 * @param othersChange - Change in other nodes' requests at this endpoint since its sample, according to their digests
 * @param firstStep - First step of the history that isn't written yet; it may lie several ticks back if ticks were late
 * @example
 * refreshCandidate(candidate, clock.readMonotonicMs(), 0, state.lastStep + 1);
 */
export function refreshCandidate(candidate: Candidate, nowMs: number, othersChange: number, firstStep: number): void {
    const lastStep = Math.floor(nowMs / TICK_MS);
    for (let step = firstStep; step <= lastStep; step++) {
        candidate.history.inFlight[step % HISTORY_STEPS] = candidate.ownInFlight;
        candidate.history.prefillTokens[step % HISTORY_STEPS] = candidate.ownPrefillTokens;
    }
    candidate.biasMs *= BIAS_DECAY;
    candidate.costMicros = computeCost(candidate);
    if (candidate.sampledAtMs === undefined) {
        candidate.othersInFlight = Math.max(0, othersChange);
        return;
    }
    const ageMs = Math.max(0, nowMs - candidate.sampledAtMs);
    const { meanOthersInFlight, meanOthersPrefillTokens } = candidate;
    const inFlightKept = Math.exp(-ageMs / OTHERS_IN_FLIGHT_DECAY_MS);
    const prefillKept = Math.exp(-ageMs / OTHERS_PREFILL_DECAY_MS);
    const inFlight = meanOthersInFlight + inFlightKept * (candidate.sampledOthersInFlight - meanOthersInFlight);
    candidate.othersInFlight = Math.max(0, inFlight + othersChange);
    candidate.othersPrefillTokens =
        meanOthersPrefillTokens + prefillKept * (candidate.sampledOthersPrefillTokens - meanOthersPrefillTokens);
}

function computeCost(candidate: Candidate): number {
    const microsPerMs = candidate.microsPerHour / 3_600_000;
    if (candidate.endpoint.role === VmRole.ApplicationRunner) {
        return (microsPerMs * candidate.durationMs) / candidate.slots;
    }
    const transferMicros = candidate.isRemote ? CROSS_REGION_TRANSFER_MICROS : 0;
    return (microsPerMs * 1_000 * candidate.tokenGapMs) / candidate.slots + transferMicros;
}
