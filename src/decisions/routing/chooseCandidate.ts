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
    SAMPLE_MINIMUM,
    SAMPLE_SHARE,
} from "./constants";
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
    collectUsable(candidates, query, holders, fractions[0], scratch);
    const count = scratch.candidates.length;
    if (count === 0) {
        return undefined;
    }
    const tokensPerBlock = query.promptTokens / Math.max(1, query.prefixHashes.length);
    const estimate = (candidate: Candidate) => {
        const cachedBlocks = candidate.cachedQuery === index.query ? candidate.cachedBlocks : 0;
        return estimateFirstToken(candidate, query.promptTokens - cachedBlocks * tokensPerBlock);
    };
    let best = Infinity;
    for (let position = 0; position < count; position++) {
        const candidate = scratch.candidates[position] as Candidate;
        const score = computeScore(candidate, estimate(candidate), query);
        scratch.scores[position] = score;
        best = Math.min(best, score);
    }
    if (holders.size === 0 && query.prefixHashes.length > 0) {
        best = Math.min(best, applyHomeBonus(query, scratch));
    }
    const candidate = drawNearEqual(scratch, best, fractions[1]);
    const cachedBlocks = candidate.cachedQuery === index.query ? candidate.cachedBlocks : 0;
    const uncachedTokens = query.promptTokens - cachedBlocks * tokensPerBlock;
    return { candidate, estimateMs: estimateFirstToken(candidate, uncachedTokens), uncachedTokens };
}

function collectUsable(
    candidates: readonly Candidate[],
    query: ChoiceQuery,
    holders: ReadonlySet<Candidate>,
    fraction: number,
    scratch: ChoiceScratch,
): void {
    scratch.candidates.length = 0;
    scratch.scores.length = 0;
    const total = candidates.length;
    const wanted = total <= SAMPLE_MINIMUM ? total : Math.max(SAMPLE_MINIMUM, Math.ceil(total * SAMPLE_SHARE));
    let position = Math.floor(fraction * total);
    for (let looked = 0; looked < total && scratch.candidates.length < wanted; looked++) {
        const candidate = candidates[position] as Candidate;
        position = position + 1 === total ? 0 : position + 1;
        if (isUsable(candidate, query)) {
            scratch.candidates.push(candidate);
        }
    }
    if (wanted === total) {
        return;
    }
    let added = 0;
    for (const holder of holders) {
        if (added++ >= HOLDERS_LIMIT) {
            break;
        }
        if (isUsable(holder, query)) {
            scratch.candidates.push(holder);
        }
    }
}

function isUsable(candidate: Candidate, query: ChoiceQuery): boolean {
    const { endpoint, outcomes } = candidate;
    if (candidate.isLeaving || endpoint.version !== query.version) {
        return false;
    }
    if (candidate.costMicros > query.costCeilingMicros || !isOutcomeUsable(outcomes, candidate.ownInFlight)) {
        return false;
    }
    const onRoute = candidate.removedRoutes === 0 ? undefined : findRoute(candidate, query.route);
    if (onRoute !== undefined && !isOutcomeUsable(onRoute, candidate.ownInFlight)) {
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

function applyHomeBonus(query: ChoiceQuery, scratch: ChoiceScratch): number {
    const prefix = hashText(query.prefixHashes[0] ?? "");
    let home = -1;
    let highest = -1;
    let inFlight = 0;
    for (const [position, candidate] of scratch.candidates.entries()) {
        const weight = hashPair(candidate.hash, prefix);
        inFlight += candidate.ownInFlight + candidate.othersInFlight;
        if (!candidate.isRemote && weight > highest) {
            highest = weight;
            home = position;
        }
    }
    const candidate = scratch.candidates[home];
    if (candidate === undefined || candidate.endpoint.role !== VmRole.ModelRunner) {
        return Infinity;
    }
    const bound = (HOME_LOAD_FACTOR * inFlight) / scratch.candidates.length + 1;
    if (candidate.ownInFlight + candidate.othersInFlight > bound) {
        return Infinity;
    }
    const bonusMs = (HOME_BONUS_SHARE * query.promptTokens) / candidate.prefillTokensPerMs;
    const score = (scratch.scores[home] ?? Infinity) - bonusMs;
    scratch.scores[home] = score;
    return score;
}

function drawNearEqual(scratch: ChoiceScratch, best: number, fraction: number): Candidate {
    const bound = best + Math.max(NEAR_EQUAL_MS, Math.abs(best) * NEAR_EQUAL_SHARE);
    let equal = 0;
    for (const score of scratch.scores) {
        equal += score <= bound ? 1 : 0;
    }
    let skip = Math.floor(fraction * equal);
    for (const [position, score] of scratch.scores.entries()) {
        if (score <= bound && skip-- === 0) {
            return scratch.candidates[position] as Candidate;
        }
    }
    return scratch.candidates[0] as Candidate;
}
