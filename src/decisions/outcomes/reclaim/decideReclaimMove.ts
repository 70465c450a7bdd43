/**
 * @module The cheapest way to save one stream from a leaving endpoint.
 */
import { RECLAIM_MARGIN_MS, TRANSFER_SETUP_MS } from "./constants";
import { type LeavingStream, type ReclaimChoice, ReclaimMove, type ReclaimTerms } from "./reclaimMove";

const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * Chooses between finishing in place, moving the KV cache and resuming by prefill: the cheapest that fits inside the
 * notice and the deadline. A stream that may not be executed twice can only finish in place.
 *
 * @param stream - The stream at the leaving endpoint
 * @param terms - Speeds and prices
 * @param nowMs - Monotonic milliseconds
 * @returns The move with its cost; `Shed` if none ends before the deadline
 * @example
 * decideReclaimMove(stream, terms, nowMs).move; //=> ReclaimMove.TransferCache
 */
export function decideReclaimMove(stream: LeavingStream, terms: ReclaimTerms, nowMs: number): ReclaimChoice {
    const finish = buildFinish();
    if (!stream.isIdempotent || isSureToFinish(stream, nowMs)) {
        return finish;
    }
    const fitting = [buildTransfer(stream, terms), buildPrefill(stream, terms)].filter(choice =>
        isFitting(choice, stream, terms, nowMs),
    );
    const [cheapest] = fitting.sort((left, right) => left.costMicros - right.costMicros);
    return cheapest ?? { ...finish, move: ReclaimMove.Shed };
}

function buildFinish(): ReclaimChoice {
    return { move: ReclaimMove.Finish, recomputedTokens: 0, moveMs: 0, costMicros: 0 };
}

function isSureToFinish(stream: LeavingStream, nowMs: number): boolean {
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

function isFitting(choice: ReclaimChoice, stream: LeavingStream, terms: ReclaimTerms, nowMs: number): boolean {
    const endsAtMs = nowMs + choice.moveMs + stream.expectedTokensLeft * stream.tokenGapMs;
    if (endsAtMs > stream.deadlineAtMs) {
        return false;
    }
    const needsSource = choice.move === ReclaimMove.TransferCache;
    return !needsSource || (terms.canTransfer && nowMs + choice.moveMs <= stream.goneAtMs - RECLAIM_MARGIN_MS);
}
