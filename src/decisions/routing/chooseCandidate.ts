/**
 * @module The choice of an endpoint.
 */
import { hashText } from "../../base/hashText";
import { VmRole } from "../../model/endpoint";
import { hashPair } from "./_lib/hashPair";
import type { Candidate } from "./candidate";
import {
    HOLDERS_LIMIT,
    HOME_BONUS_SHARE,
    HOME_LOAD_FACTOR,
    MISS_PENALTY,
    NEAR_EQUAL_MS,
    NEAR_EQUAL_SHARE,
    PRICE_PENALTY_SHARE,
    REMOTE_PENALTY_SHARE,
    SAMPLE_LIMIT,
    SAMPLE_MINIMUM,
    SAMPLE_SHARE,
} from "./constants";
import { countCachedBlocks } from "./countCachedBlocks";
import { estimateFirstToken } from "./estimateFirstToken";
import { findRoute } from "./_lib/findRoute";
import { findCachedBlocks } from "./findCachedBlocks";
import { isOutcomeUsable } from "./isOutcomeUsable";
import type { PrefixIndex } from "./prefixIndex";

/** What the choice depends on besides the endpoints. */
export interface ChoiceQuery {
    readonly version: string;
    readonly route: string;
    readonly promptTokens: number;
    /** Shortest first. */
    readonly prefixHashes: readonly string[];
    readonly excludedEndpointIds: readonly string[];
    /** Latency target of the class in milliseconds, and what is left of it. */
    readonly targetMs: number;
    readonly remainingMs: number;
    /** Highest cost per 1,000 tokens, or per call, that the class allows. */
    readonly costCeilingMicros: number;
}

/** The chosen endpoint. */
export interface Choice {
    readonly candidate: Candidate;
    /** Estimated milliseconds to the first token. */
    readonly estimateMs: number;
    /** Prompt tokens that the endpoint must prefill. */
    readonly uncachedTokens: number;
}

/** Reused between choices, so that a choice allocates little. */
export interface ChoiceScratch {
    readonly candidates: Candidate[];
    readonly scores: number[];
}

/**
 * Chooses an endpoint: the one with the lowest estimated time to the first token, with penalties for another region,
 * for price and for missing the target, and a bonus for the home of a prefix that nobody holds yet. Among scores that
 * are nearly equal one is drawn, and of many candidates only a random part is looked at, so that several nodes with the
 * same reports don't all choose the same endpoint.
 *
 * @param candidates - The endpoints of the service that this node uses, in an order unrelated to where they stand
 * @param query - What is asked
 * @param index - Hints about caches of these endpoints
 * @param fractions - Two random numbers in [0, 1): where the sample begins, and the draw among near-equals
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
    const isWhole = sampleCandidates(candidates, query, index, fractions[0], scratch);
    if (!isWhole) {
        addHolders(holders, query, index, scratch);
    }
    if (scratch.candidates.length === 0) {
        return undefined;
    }
    if (holders.size === 0 && query.prefixHashes.length > 0) {
        applyHomeBonus(query, scratch);
    }
    const candidate = drawNearEqual(scratch, fractions[1]);
    const uncachedTokens = countUncached(candidate, query, index);
    return { candidate, estimateMs: estimateFirstToken(candidate, uncachedTokens), uncachedTokens };
}

function sampleCandidates(
    candidates: readonly Candidate[],
    query: ChoiceQuery,
    index: PrefixIndex,
    fraction: number,
    scratch: ChoiceScratch,
): boolean {
    const total = candidates.length;
    const wanted = Math.min(total, SAMPLE_LIMIT, Math.max(SAMPLE_MINIMUM, Math.ceil(total * SAMPLE_SHARE)));
    let position = Math.floor(fraction * total);
    for (let looked = 0; looked < total && scratch.candidates.length < wanted; looked++) {
        addIfUsable(candidates[position] as Candidate, query, index, scratch);
        position = position + 1 === total ? 0 : position + 1;
    }
    return wanted === total;
}

function addHolders(
    holders: ReadonlySet<Candidate>,
    query: ChoiceQuery,
    index: PrefixIndex,
    scratch: ChoiceScratch,
): void {
    let added = 0;
    for (const holder of holders) {
        if (added++ >= HOLDERS_LIMIT) {
            return;
        }
        addIfUsable(holder, query, index, scratch);
    }
}

function addIfUsable(candidate: Candidate, query: ChoiceQuery, index: PrefixIndex, scratch: ChoiceScratch): void {
    if (isUsable(candidate, query)) {
        const estimateMs = estimateFirstToken(candidate, countUncached(candidate, query, index));
        scratch.candidates.push(candidate);
        scratch.scores.push(computeScore(candidate, estimateMs, query));
    }
}

function countUncached(candidate: Candidate, query: ChoiceQuery, index: PrefixIndex): number {
    const cachedBlocks = countCachedBlocks(index, candidate);
    return query.promptTokens * (1 - cachedBlocks / Math.max(1, query.prefixHashes.length));
}

function isUsable(candidate: Candidate, query: ChoiceQuery): boolean {
    const { endpoint, outcomes } = candidate;
    if (candidate.isLeaving || endpoint.version !== query.version) {
        return false;
    }
    if (candidate.costMicros > query.costCeilingMicros || !isOutcomeUsable(outcomes)) {
        return false;
    }
    const onRoute = candidate.removedRoutes === 0 ? undefined : findRoute(candidate, query.route);
    if (onRoute !== undefined && !isOutcomeUsable(onRoute)) {
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
    const missMs = Math.max(0, estimateMs - query.remainingMs);
    return estimateMs + remoteMs + priceMs + MISS_PENALTY * missMs;
}

function applyHomeBonus(query: ChoiceQuery, scratch: ChoiceScratch): void {
    const { candidates, scores } = scratch;
    const prefix = hashText(query.prefixHashes[0] ?? "");
    let home = -1;
    let highest = -1;
    let inFlight = 0;
    candidates.forEach((candidate, position) => {
        const weight = candidate.isRemote ? -1 : hashPair(candidate.hash, prefix);
        inFlight += candidate.ownInFlight + candidate.othersInFlight;
        if (weight > highest) {
            highest = weight;
            home = position;
        }
    });
    const candidate = candidates[home];
    if (candidate === undefined || candidate.endpoint.role !== VmRole.ModelRunner) {
        return;
    }
    const bound = (HOME_LOAD_FACTOR * inFlight) / candidates.length + 1;
    if (candidate.ownInFlight + candidate.othersInFlight <= bound) {
        const bonusMs = (HOME_BONUS_SHARE * query.promptTokens) / candidate.prefillTokensPerMs;
        scores[home] = (scores[home] ?? Infinity) - bonusMs;
    }
}

function drawNearEqual(scratch: ChoiceScratch, fraction: number): Candidate {
    const { candidates, scores } = scratch;
    let best = Infinity;
    for (const score of scores) {
        best = score < best ? score : best;
    }
    const bound = best + Math.max(NEAR_EQUAL_MS, Math.abs(best) * NEAR_EQUAL_SHARE);
    let equal = 0;
    for (const score of scores) {
        equal += score <= bound ? 1 : 0;
    }
    let left = Math.floor(fraction * equal);
    const chosen = scores.findIndex(score => score <= bound && left-- === 0);
    return candidates[chosen] as Candidate;
}
