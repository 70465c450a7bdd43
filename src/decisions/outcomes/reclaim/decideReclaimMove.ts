/**
 * @module Chooses the cheapest way to preserve one stream of a leaving endpoint.
 */
import { RECLAIM_MARGIN_MS, TRANSFER_SETUP_MS } from "./constants";
import { type LeavingStream, type ReclaimChoice, ReclaimMove, type ReclaimTerms } from "./reclaimMove";

const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * Chooses between finishing in place, transferring the KV cache and resuming by prefill: the cheapest that completes
 * before the endpoint goes and before the request's deadline. A non-idempotent stream can only finish in place.
 *
 * @param stream - The stream at the leaving endpoint
 * @param terms - Speeds and prices
 * @param nowMs - Monotonic milliseconds
 * @returns The move and its cost; `Shed` if no move is feasible
 * @example
 * decideReclaimMove(stream, terms, nowMs).move; //=> ReclaimMove.TransferCache
 */
export function decideReclaimMove(stream: LeavingStream, terms: ReclaimTerms, nowMs: number): ReclaimChoice {
    const finish = buildFinish();
    if (!stream.isIdempotent || isCertainToFinish(stream, nowMs)) {
        return finish;
    }
    const feasible = [buildTransfer(stream, terms), buildPrefill(stream, terms)].filter(choice =>
        isFeasible(choice, stream, terms, nowMs),
    );
    const [cheapest] = feasible.sort((left, right) => left.costMicros - right.costMicros);
    return cheapest ?? { ...finish, move: ReclaimMove.Shed };
}

function buildFinish(): ReclaimChoice {
    return { move: ReclaimMove.Finish, recomputedTokens: 0, moveMs: 0, costMicros: 0 };
}

function isCertainToFinish(stream: LeavingStream, nowMs: number): boolean {
    const endsAtMs = nowMs + stream.maximumTokensLeft * stream.tokenGapMs;
    return endsAtMs <= stream.goneAtMs - RECLAIM_MARGIN_MS;
}

function buildTransfer(stream: LeavingStream, terms: ReclaimTerms): ReclaimChoice {
    const bytes = (stream.promptTokens + stream.deliveredTokens) * terms.cacheBytesPerToken;
    return {
        move: ReclaimMove.TransferCache,
        recomputedTokens: 0,
        moveMs: TRANSFER_SETUP_MS + (bytes * terms.sharingNodes) / terms.transferBytesPerMs,
        costMicros: (bytes / BYTES_PER_MEGABYTE) * terms.microsPerMegabyte,
    };
}

function buildPrefill(stream: LeavingStream, terms: ReclaimTerms): ReclaimChoice {
    const recomputedTokens = stream.promptTokens + stream.deliveredTokens;
    return {
        move: ReclaimMove.Prefill,
        recomputedTokens,
        moveMs: recomputedTokens / terms.prefillTokensPerMs,
        costMicros: (recomputedTokens / 1_000) * terms.microsPerThousandTokens,
    };
}

function isFeasible(choice: ReclaimChoice, stream: LeavingStream, terms: ReclaimTerms, nowMs: number): boolean {
    const endsAtMs = nowMs + choice.moveMs + stream.expectedTokensLeft * stream.tokenGapMs;
    if (endsAtMs > stream.deadlineAtMs) {
        return false;
    }
    const needsLeavingEndpoint = choice.move === ReclaimMove.TransferCache;
    return !needsLeavingEndpoint || (terms.canTransfer && nowMs + choice.moveMs <= stream.goneAtMs - RECLAIM_MARGIN_MS);
}
