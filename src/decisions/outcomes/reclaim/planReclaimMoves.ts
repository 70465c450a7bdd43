/**
 * @module Plans the moves of all streams of this node whose endpoints leave at about the same time.
 */
import { RECLAIM_MARGIN_MS, RECLAIM_PREFILL_SHARE } from "./constants";
import { decideReclaimMove } from "./decideReclaimMove";
import {
    type LeavingStream,
    type PlannedMove,
    type ReclaimChoice,
    ReclaimMove,
    type ReclaimTerms,
} from "./reclaimMove";

/**
 * Plans one move for each stream. Streams with the least slack before their deadline move first. KV cache exports from
 * one endpoint run one after the other, as late as the notice allows, because a stream that ends before its turn needs
 * no move. Streams that the link can't transfer in time are prefilled on other runners, also as late as possible, and
 * spaced so that the surviving runners keep most of their speed for their own requests.
 *
 * @param streams - The streams at leaving endpoints
 * @param terms - Speeds and prices
 * @param nowMs - Monotonic milliseconds
 * @returns One move per stream, in order of increasing slack
 * @example
 * for (const move of planReclaimMoves(streams, terms, nowMs)) { ... }
 */
export function planReclaimMoves(
    streams: readonly LeavingStream[],
    terms: ReclaimTerms,
    nowMs: number,
): readonly PlannedMove[] {
    const ordered = [...streams].sort((left, right) => computeSlackMs(left) - computeSlackMs(right));
    const choices = new Map(ordered.map(stream => [stream, decideReclaimMove(stream, terms, nowMs)]));
    const earlyStarts = scheduleOverflow(ordered, choices, terms, nowMs);
    const prefillStarts = schedulePrefills(ordered, choices, terms, nowMs);
    const lateStarts = scheduleTransfers(
        ordered.filter(stream => !earlyStarts.has(stream)),
        choices,
    );
    return ordered.map(stream => {
        const choice = choices.get(stream) as ReclaimChoice;
        const startAtMs = Math.max(
            nowMs,
            earlyStarts.get(stream) ?? lateStarts.get(stream) ?? prefillStarts.get(stream) ?? nowMs,
        );
        return { ...choice, requestId: stream.requestId, startAtMs };
    });
}

function computeSlackMs(stream: LeavingStream): number {
    return stream.deadlineAtMs - stream.expectedTokensLeft * stream.tokenGapMs;
}

/**
 * Finds the transfers that this node's share of their endpoint's link can't carry in time. They start immediately,
 * while the link is still idle, as long as its full speed suffices for them; the rest is prefilled on other runners.
 */
function scheduleOverflow(
    ordered: readonly LeavingStream[],
    choices: Map<LeavingStream, ReclaimChoice>,
    terms: ReclaimTerms,
    nowMs: number,
): ReadonlyMap<LeavingStream, number> {
    const busyMs = new Map<string, number>();
    const earlyBusyMs = new Map<string, number>();
    const earlyStarts = new Map<LeavingStream, number>();
    for (const stream of ordered) {
        const choice = choices.get(stream) as ReclaimChoice;
        if (choice.move !== ReclaimMove.TransferCache) {
            continue;
        }
        const availableMs = stream.goneAtMs - RECLAIM_MARGIN_MS - nowMs;
        const usedMs = (busyMs.get(stream.endpointId) ?? 0) + choice.moveMs;
        const earlyMs = earlyBusyMs.get(stream.endpointId) ?? 0;
        const fullSpeedChoice = decideReclaimMove(stream, { ...terms, sharingNodes: 1 }, nowMs);
        if (usedMs <= availableMs) {
            busyMs.set(stream.endpointId, usedMs);
        } else if (terms.sharingNodes > 1 && earlyMs + fullSpeedChoice.moveMs <= availableMs) {
            choices.set(stream, fullSpeedChoice);
            earlyStarts.set(stream, nowMs + earlyMs);
            earlyBusyMs.set(stream.endpointId, earlyMs + fullSpeedChoice.moveMs);
        } else {
            choices.set(stream, decideReclaimMove(stream, { ...terms, canTransfer: false }, nowMs));
        }
    }
    return earlyStarts;
}

/** Schedules the transfers of each endpoint back to back, so that the last one ends when the reclaim margin begins. */
function scheduleTransfers(
    ordered: readonly LeavingStream[],
    choices: ReadonlyMap<LeavingStream, ReclaimChoice>,
): ReadonlyMap<LeavingStream, number> {
    const nextEndMs = new Map<string, number>();
    const starts = new Map<LeavingStream, number>();
    for (const stream of [...ordered].reverse()) {
        const choice = choices.get(stream) as ReclaimChoice;
        if (choice.move !== ReclaimMove.TransferCache) {
            continue;
        }
        const latestEndMs = stream.goneAtMs - RECLAIM_MARGIN_MS;
        const endMs = Math.min(latestEndMs, nextEndMs.get(stream.endpointId) ?? latestEndMs);
        starts.set(stream, endMs - choice.moveMs);
        nextEndMs.set(stream.endpointId, endMs - choice.moveMs);
    }
    return starts;
}

/**
 * Spaces prefills at the rate that the surviving runners can absorb, as late as the notice allows: until its turn a
 * stream continues on the leaving endpoint, and many streams end before that. Prefills that do not fit within the
 * notice start after it; streams that would end after their deadline are shed.
 */
function schedulePrefills(
    ordered: readonly LeavingStream[],
    choices: Map<LeavingStream, ReclaimChoice>,
    terms: ReclaimTerms,
    nowMs: number,
): ReadonlyMap<LeavingStream, number> {
    const survivorTokensPerMs = Math.max(1, terms.survivors) * terms.prefillTokensPerMs;
    const tokensPerMs = (survivorTokensPerMs * RECLAIM_PREFILL_SHARE) / terms.sharingNodes;
    const moved = ordered.filter(stream => choices.get(stream)?.move === ReclaimMove.Prefill);
    const starts = new Map<LeavingStream, number>();
    let nextStartMs = nowMs;
    for (const stream of moved) {
        const { moveMs, recomputedTokens } = choices.get(stream) as ReclaimChoice;
        const stalledMs = Math.max(0, nextStartMs - stream.goneAtMs);
        if (nowMs + stalledMs + moveMs > computeSlackMs(stream)) {
            choices.set(stream, { move: ReclaimMove.Shed, recomputedTokens: 0, moveMs: 0, costMicros: 0 });
            continue;
        }
        starts.set(stream, nextStartMs);
        nextStartMs += (recomputedTokens * estimateOutlastProbability(stream, nowMs)) / tokensPerMs;
    }
    const spareMs = Math.min(...moved.map(stream => stream.goneAtMs)) - RECLAIM_MARGIN_MS - nextStartMs;
    for (const [stream, startMs] of starts) {
        starts.set(stream, startMs + Math.max(0, spareMs));
    }
    return starts;
}

/** Estimates the probability that a stream outlasts its endpoint, assuming exponentially distributed answer lengths. */
function estimateOutlastProbability(stream: LeavingStream, nowMs: number): number {
    const expectedMs = Math.max(1, stream.expectedTokensLeft * stream.tokenGapMs);
    return Math.exp(-Math.max(0, stream.goneAtMs - RECLAIM_MARGIN_MS - nowMs) / expectedMs);
}
