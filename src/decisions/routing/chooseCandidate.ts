/**
 * @module Choosing the endpoint of an attempt.
 */
import { hashText } from "../../base/hashText";
import { VmRole } from "../../model/endpoint";
import { hashPair } from "./_lib/hashPair";
import type { Candidate } from "./candidate";
import {
    EXTRA_HOLDERS_LIMIT,
    AFFINITY_BONUS_SHARE,
    AFFINITY_LOAD_FACTOR,
    MISSED_TARGET_PENALTY_FACTOR,
    NEAR_EQUAL_MS,
    NEAR_EQUAL_SHARE,
    PRICE_PENALTY_SHARE,
    REMOTE_PENALTY_SHARE,
    SAMPLE_LIMIT,
    SAMPLE_MINIMUM,
    SAMPLE_SHARE,
} from "./constants";
import { countCachedBlocks } from "./countCachedBlocks";
import { estimateTimeToFirstToken } from "./estimateTimeToFirstToken";
import { findRouteOutcomes } from "./_lib/routeOutcomes";
import { findCachedBlocks } from "./findCachedBlocks";
import { isAcceptingAttempts } from "./isAcceptingAttempts";
import type { PrefixIndex } from "./prefixIndex";

/** The attempt for which an endpoint is chosen. */
export interface ChoiceQuery {
    readonly version: string;
    readonly route: string;
    readonly promptTokens: number;
    /** Hashes of the prompt's prefixes, one per block, shortest first. */
    readonly prefixHashes: readonly string[];
    readonly excludedEndpointIds: readonly string[];
    /** Latency target of the class, and the time left to meet it, in milliseconds. */
    readonly targetMs: number;
    readonly remainingMs: number;
    /** Highest cost that the class allows, per 1,000 tokens or per call. */
    readonly costCeilingMicros: number;
}

/** The chosen endpoint. */
export interface Choice {
    readonly candidate: Candidate;
    /** Estimated milliseconds to the first token. */
    readonly estimateMs: number;
    /** Prompt tokens that the endpoint must prefill because they aren't in its cache. */
    readonly uncachedTokens: number;
}

/** Arrays reused between choices to avoid allocations. */
export interface ChoiceScratch {
    readonly candidates: Candidate[];
    readonly scores: number[];
}

/**
 * Chooses the endpoint with the lowest score. The score is the estimated time to the first token plus penalties for
 * another region, for the price and for missing the target. If no endpoint holds any prefix of the prompt, the endpoint
 * with the highest rendezvous hash for its first block gets a bonus, so that the nodes send this prefix to the same
 * endpoint. Scores that are nearly equal are decided by a random draw, and only a random sample of many candidates is
 * scored, so that several nodes with the same load reports don't all choose the same endpoint.
 *
 * @param candidates - The endpoints of the service that this node uses, in an order unrelated to their location
 * @param query - The attempt
 * @param index - Prefixes that these endpoints are believed to hold in their caches
 * @param fractions - Two random numbers in [0, 1): for the start of the sample, and for the draw among near-equal
 *     scores
 * @param scratch - Arrays to reuse
 * @returns The choice, or `undefined` if no endpoint may be used
 * @example
 * const choice = chooseCandidate(candidates, query, index, [random.drawFraction(), random.drawFraction()]);
 */
export function chooseCandidate(
    candidates: readonly Candidate[],
    query: ChoiceQuery,
    index: PrefixIndex,
    fractions: readonly [number, number],
    scratch: ChoiceScratch = { candidates: [], scores: [] },
): Choice | undefined {
    const holders = findCachedBlocks(index, query.prefixHashes);
    scratch.candidates.length = 0;
    scratch.scores.length = 0;
    const hasSampledAll = sampleCandidates(candidates, query, index, fractions[0], scratch);
    if (!hasSampledAll) {
        addHolders(holders, query, index, scratch);
    }
    if (scratch.candidates.length === 0) {
        return undefined;
    }
    if (holders.size === 0 && query.prefixHashes.length > 0) {
        applyAffinityBonus(query, scratch);
    }
    const candidate = drawNearEqual(scratch, fractions[1]);
    const uncachedTokens = countUncachedTokens(candidate, query, index);
    return { candidate, estimateMs: estimateTimeToFirstToken(candidate, uncachedTokens), uncachedTokens };
}

/** Scores a contiguous stretch of the candidates from a random position; returns whether it covers all of them. */
function sampleCandidates(
    candidates: readonly Candidate[],
    query: ChoiceQuery,
    index: PrefixIndex,
    fraction: number,
    scratch: ChoiceScratch,
): boolean {
    const total = candidates.length;
    const sampleSize = Math.min(total, SAMPLE_LIMIT, Math.max(SAMPLE_MINIMUM, Math.ceil(total * SAMPLE_SHARE)));
    let position = Math.floor(fraction * total);
    for (let examined = 0; examined < total && scratch.candidates.length < sampleSize; examined++) {
        addIfUsable(candidates[position] as Candidate, query, index, scratch);
        position = position + 1 === total ? 0 : position + 1;
    }
    return sampleSize === total;
}

function addHolders(
    holders: ReadonlySet<Candidate>,
    query: ChoiceQuery,
    index: PrefixIndex,
    scratch: ChoiceScratch,
): void {
    let added = 0;
    for (const holder of holders) {
        if (added++ >= EXTRA_HOLDERS_LIMIT) {
            return;
        }
        addIfUsable(holder, query, index, scratch);
    }
}

function addIfUsable(candidate: Candidate, query: ChoiceQuery, index: PrefixIndex, scratch: ChoiceScratch): void {
    if (isUsable(candidate, query)) {
        const estimateMs = estimateTimeToFirstToken(candidate, countUncachedTokens(candidate, query, index));
        scratch.candidates.push(candidate);
        scratch.scores.push(computeScore(candidate, estimateMs, query));
    }
}

function countUncachedTokens(candidate: Candidate, query: ChoiceQuery, index: PrefixIndex): number {
    const cachedBlocks = countCachedBlocks(index, candidate);
    return query.promptTokens * (1 - cachedBlocks / Math.max(1, query.prefixHashes.length));
}

function isUsable(candidate: Candidate, query: ChoiceQuery): boolean {
    const { endpoint, outcomes } = candidate;
    if (candidate.isLeaving || endpoint.version !== query.version) {
        return false;
    }
    if (candidate.costMicros > query.costCeilingMicros || !isAcceptingAttempts(outcomes)) {
        return false;
    }
    const routeOutcomes = candidate.removedRoutes === 0 ? undefined : findRouteOutcomes(candidate, query.route);
    if (routeOutcomes !== undefined && !isAcceptingAttempts(routeOutcomes)) {
        return false;
    }
    return query.excludedEndpointIds.length === 0 || !query.excludedEndpointIds.includes(endpoint.endpointId);
}

function computeScore(candidate: Candidate, estimateMs: number, query: ChoiceQuery): number {
    const remoteMs = candidate.isRemote ? REMOTE_PENALTY_SHARE * query.targetMs : 0;
    const priceMs =
        query.costCeilingMicros > 0 && candidate.costMicros > 0
            ? (PRICE_PENALTY_SHARE * query.targetMs * candidate.costMicros) / query.costCeilingMicros
            : 0;
    const overdueMs = Math.max(0, estimateMs - query.remainingMs);
    return estimateMs + remoteMs + priceMs + MISSED_TARGET_PENALTY_FACTOR * overdueMs;
}

/**
 * Applies the bonus to the candidate in this region with the highest rendezvous hash for the first block, unless
 * it has too many requests in progress (consistent hashing with bounded loads).
 */
function applyAffinityBonus(query: ChoiceQuery, scratch: ChoiceScratch): void {
    const { candidates, scores } = scratch;
    const prefixHash = hashText(query.prefixHashes[0] ?? "");
    let preferred = -1;
    let highest = -1;
    let inFlight = 0;
    candidates.forEach((candidate, position) => {
        const weight = candidate.isRemote ? -1 : hashPair(candidate.hash, prefixHash);
        inFlight += candidate.ownInFlight + candidate.othersInFlight;
        if (weight > highest) {
            highest = weight;
            preferred = position;
        }
    });
    const candidate = candidates[preferred];
    if (candidate === undefined || candidate.endpoint.role !== VmRole.ModelRunner) {
        return;
    }
    const loadLimit = (AFFINITY_LOAD_FACTOR * inFlight) / candidates.length + 1;
    if (candidate.ownInFlight + candidate.othersInFlight <= loadLimit) {
        const bonusMs = (AFFINITY_BONUS_SHARE * query.promptTokens) / candidate.prefillTokensPerMs;
        scores[preferred] = (scores[preferred] ?? Infinity) - bonusMs;
    }
}

function drawNearEqual(scratch: ChoiceScratch, fraction: number): Candidate {
    const { candidates, scores } = scratch;
    let best = Infinity;
    for (const score of scores) {
        best = score < best ? score : best;
    }
    const scoreLimit = best + Math.max(NEAR_EQUAL_MS, Math.abs(best) * NEAR_EQUAL_SHARE);
    let nearEqualCount = 0;
    for (const score of scores) {
        nearEqualCount += score <= scoreLimit ? 1 : 0;
    }
    let remaining = Math.floor(fraction * nearEqualCount);
    const chosen = scores.findIndex(score => score <= scoreLimit && remaining-- === 0);
    return candidates[chosen] as Candidate;
}
