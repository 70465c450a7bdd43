/**
 * @module Bringing an estimate up to the present.
 */
import { VmRole } from "../../model/endpoint";
import type { Candidate } from "./candidate";
import {
    BIAS_FADE,
    HISTORY_STEPS,
    OTHERS_IN_FLIGHT_PERSISTENCE_MS,
    OTHERS_PREFILL_PERSISTENCE_MS,
    REGION_VOLUME_MICROS,
    TICK_MS,
} from "./constants";

/**
 * Brings what depends on time up to the present; called once each tick. The share of other nodes in a report moves
 * towards its mean as the report ages, so that a runner reported idle doesn't stay attractive until the next report.
 *
 * @param candidate - The endpoint; changed in place
 * @param nowMs - Now, in monotonic milliseconds
 * @param othersChange - Change of other nodes' requests at this endpoint since its sample, by their digests
 * @param firstStep - First step of the history that is not written yet; ticks may come late
 * @example
 * refreshCandidate(candidate, clock.readMonotonicMs(), 0, state.lastStep + 1);
 */
export function refreshCandidate(candidate: Candidate, nowMs: number, othersChange: number, firstStep: number): void {
    const lastStep = Math.floor(nowMs / TICK_MS);
    for (let step = firstStep; step <= lastStep; step++) {
        candidate.history.inFlight[step % HISTORY_STEPS] = candidate.ownInFlight;
        candidate.history.prefillTokens[step % HISTORY_STEPS] = candidate.ownPrefillTokens;
    }
    candidate.biasMs *= BIAS_FADE;
    candidate.costMicros = computeCost(candidate);
    if (candidate.sampledAtMs === undefined) {
        candidate.othersInFlight = Math.max(0, othersChange);
        return;
    }
    const ageMs = Math.max(0, nowMs - candidate.sampledAtMs);
    const { meanOthersInFlight, meanOthersPrefillTokens } = candidate;
    const inFlightKept = Math.exp(-ageMs / OTHERS_IN_FLIGHT_PERSISTENCE_MS);
    const prefillKept = Math.exp(-ageMs / OTHERS_PREFILL_PERSISTENCE_MS);
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
    const volumeMicros = candidate.isRemote ? REGION_VOLUME_MICROS : 0;
    return (microsPerMs * 1_000 * candidate.tokenGapMs) / candidate.slots + volumeMicros;
}
