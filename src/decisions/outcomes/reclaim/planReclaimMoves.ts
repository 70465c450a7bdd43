/**
 * @module The moves of all streams of this node whose endpoints leave at about the same time.
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
 * Plans a wave. Streams with the least slack to their deadline move first. Exports from one endpoint follow one
 * another, as late as the notice allows: a stream that ends before its turn is never moved. What the link can't carry
 * in time is prefilled elsewhere, as late too, and spread so that the survivors keep most of their speed for their own work.
 *
 * @param streams - The streams at leaving endpoints
 * @param terms - Speeds and prices
 * @param nowMs - Monotonic milliseconds
 * @returns One move a stream, in order of rising slack
 * @example
 * for (const move of planReclaimWave(streams, terms, nowMs)) { ... }
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
 * Finds the transfers that no longer fit behind the others of their endpoint into this node's part of its link. They
 * begin at once, while the link is still idle, for as long as the whole link could carry them; the rest is prefilled.
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
        const alone = decideReclaimMove(stream, { ...terms, sharingNodes: 1 }, nowMs);
        if (usedMs <= availableMs) {
            busyMs.set(stream.endpointId, usedMs);
        } else if (terms.sharingNodes > 1 && earlyMs + alone.moveMs <= availableMs) {
            choices.set(stream, alone);
            earlyStarts.set(stream, nowMs + earlyMs);
            earlyBusyMs.set(stream.endpointId, earlyMs + alone.moveMs);
        } else {
            choices.set(stream, decideReclaimMove(stream, { ...terms, canTransfer: false }, nowMs));
        }
    }
    return earlyStarts;
}

/** Lays the transfers of each endpoint end to end so that the last one ends when the margin begins. */
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
 * Spaces prefills by what the survivors can take, as late as the notice allows: a stream goes on at the leaving endpoint
 * until its turn, and many will have ended by then. What does not fit inside the notice comes after it; what would end after its deadline is shed.
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
        nextStartMs += (recomputedTokens * estimateChanceLeft(stream, nowMs)) / tokensPerMs;
    }
    const spareMs = Math.min(...moved.map(stream => stream.goneAtMs)) - RECLAIM_MARGIN_MS - nextStartMs;
    for (const [stream, startMs] of starts) {
        starts.set(stream, startMs + Math.max(0, spareMs));
    }
    return starts;
}

/** Chance that a stream has not ended when its endpoint goes, as if answer lengths were spread exponentially. */
function estimateChanceLeft(stream: LeavingStream, nowMs: number): number {
    const expectedMs = Math.max(1, stream.expectedTokensLeft * stream.tokenGapMs);
    return Math.exp(-Math.max(0, stream.goneAtMs - RECLAIM_MARGIN_MS - nowMs) / expectedMs);
}
