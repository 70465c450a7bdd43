/**
 * @module Refreshing the routing state.
 */
import { endTrial } from "./_lib/trial";
import { applyLoadDigest } from "./applyLoadDigest";
import { computeDemandShare } from "./computeDemandShare";
import { computeDigestPeriod } from "./computeDigestPeriod";
import {
    LOST_ATTEMPT_CHECK_TICKS,
    LOST_ATTEMPT_TIMEOUT_MS,
    DIGEST_PERIODS_VALID,
    ERROR_DECAY,
    HISTORY_STEPS,
    TICK_MS,
} from "./constants";
import { hashName } from "./hashName";
import { recordAttemptEnded } from "./recordAttemptEnded";
import { refreshCandidate } from "./refreshCandidate";
import type { Candidate } from "./candidate";
import type { RoutingState, ServiceState } from "./routingState";

/**
 * Updates the time-dependent values of the state; called once per tick.
 *
 * @param state - The state; changed in place
 * @param nowMs - Now, in monotonic milliseconds
 * @example
 * refreshRouting(state, clock.readMonotonicMs());
 */
export function refreshRouting(state: RoutingState, nowMs: number): void {
    dropExpiredDigests(state, nowMs);
    const step = Math.floor(nowMs / TICK_MS);
    const firstStep = Math.max(state.lastStep + 1, step - HISTORY_STEPS + 1);
    state.lastStep = step;
    for (const load of state.domainLoads.values()) {
        for (let missing = firstStep; missing <= step; missing++) {
            load.history[missing % HISTORY_STEPS] = load.inFlight;
        }
    }
    for (const service of state.services.values()) {
        service.estimateErrorMs *= ERROR_DECAY;
        service.demandShare = computeDemandShare(state, service, nowMs);
        for (const candidate of service.candidates) {
            refreshCandidate(candidate, nowMs, computeOthersChange(state, service, candidate, step), firstStep);
        }
    }
    for (const candidate of state.candidates.values()) {
        startRouteTrials(candidate, nowMs);
    }
    if (step % LOST_ATTEMPT_CHECK_TICKS === 0) {
        dropLostAttempts(state, nowMs);
    }
}

function dropLostAttempts(state: RoutingState, nowMs: number): void {
    for (const [key, attempt] of state.attempts) {
        if (attempt.sentAtMs + LOST_ATTEMPT_TIMEOUT_MS < nowMs) {
            state.attempts.delete(key);
            attempt.service.inFlight--;
            endTrial(attempt.candidate, attempt.route);
            recordAttemptEnded(attempt.candidate, { prefillTokens: attempt.prefillTokens });
        }
    }
}

function dropExpiredDigests(state: RoutingState, nowMs: number): void {
    const validMs = DIGEST_PERIODS_VALID * computeDigestPeriod(state.nodeCount);
    for (const [nodeId, { receivedAtMs }] of state.digests) {
        if (receivedAtMs + validMs < nowMs) {
            applyLoadDigest(state, nodeId, undefined, nowMs);
        }
    }
}

function computeOthersChange(state: RoutingState, service: ServiceState, candidate: Candidate, step: number): number {
    const domainHash = hashName(candidate.endpoint.failureDomain);
    const load = state.domainLoads.get(service.serviceHash * 65_536 + domainHash);
    if (load === undefined || candidate.sampledAtMs === undefined) {
        return 0;
    }
    const oldest = Math.max(0, step - HISTORY_STEPS + 1);
    const sampled = Math.max(oldest, Math.floor(candidate.sampledAtMs / TICK_MS));
    const inFlightAtSample = load.history[sampled % HISTORY_STEPS] ?? 0;
    return (load.inFlight - inFlightAtSample) / Math.max(1, service.liveByDomain.get(domainHash) ?? 1);
}

function startRouteTrials(candidate: Candidate, nowMs: number): void {
    if (candidate.removedRoutes === 0) {
        return;
    }
    for (const routeOutcomes of candidate.routes.values()) {
        if (routeOutcomes.removedUntilMs !== -Infinity && routeOutcomes.removedUntilMs <= nowMs) {
            routeOutcomes.isOnTrial = true;
        }
    }
}
