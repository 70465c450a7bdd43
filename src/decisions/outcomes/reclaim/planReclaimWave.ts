/**
 * @module The moves of all streams of this node whose endpoints leave at about the same time.
 */
import { RECLAIM_MARGIN_MS, SURGE_SHARE } from "./constants";
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
 * in time is prefilled elsewhere, spread so that the survivors keep most of their speed for their own work.
 *
 * @param streams - The streams at leaving endpoints
 * @param terms - Speeds and prices
 * @param nowMs - Monotonic milliseconds
 * @returns One move a stream, in order of rising slack
 * @example
 * for (const move of planReclaimWave(streams, terms, nowMs)) { ... }
 */
export function planReclaimWave(
    streams: readonly LeavingStream[],
    terms: ReclaimTerms,
    nowMs: number,
): readonly PlannedMove[] {
    const ordered = [...streams].sort((left, right) => computeSlackMs(left) - computeSlackMs(right));
    const choices = new Map(ordered.map(stream => [stream, decideReclaimMove(stream, terms, nowMs)]));
    scheduleTransfers(ordered, choices, terms, nowMs);
    const starts = schedulePrefills(ordered, choices, terms, nowMs);
    const transferStarts = computeTransferStarts(ordered, choices);
    return ordered.map(stream => {
        const choice = choices.get(stream) as ReclaimChoice;
        const startAtMs = Math.max(nowMs, transferStarts.get(stream) ?? starts.get(stream) ?? nowMs);
        return { ...choice, requestId: stream.requestId, startAtMs };
    });
}

function computeSlackMs(stream: LeavingStream): number {
    return stream.deadlineAtMs - stream.expectedTokensLeft * stream.tokenGapMs;
}

/** Turns transfers that no longer fit behind the others of their endpoint into prefills. */
function scheduleTransfers(
    ordered: readonly LeavingStream[],
    choices: Map<LeavingStream, ReclaimChoice>,
    terms: ReclaimTerms,
    nowMs: number,
): void {
    const busyMs = new Map<string, number>();
    for (const stream of ordered) {
        const choice = choices.get(stream) as ReclaimChoice;
        if (choice.move !== ReclaimMove.TransferCache) {
            continue;
        }
        const usedMs = (busyMs.get(stream.endpointId) ?? 0) + choice.moveMs;
        if (nowMs + usedMs > stream.goneAtMs - RECLAIM_MARGIN_MS) {
            choices.set(stream, decideReclaimMove(stream, { ...terms, canTransfer: false }, nowMs));
        } else {
            busyMs.set(stream.endpointId, usedMs);
        }
    }
}

/** Lays the transfers of each endpoint end to end so that the last one ends when the margin begins. */
function computeTransferStarts(
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

/** Spaces prefills by what the survivors can take; sheds those that would end after their deadline. */
function schedulePrefills(
    ordered: readonly LeavingStream[],
    choices: Map<LeavingStream, ReclaimChoice>,
    terms: ReclaimTerms,
    nowMs: number,
): ReadonlyMap<LeavingStream, number> {
    const tokensPerMs = Math.max(1, terms.survivors) * terms.prefillTokensPerMs * SURGE_SHARE;
    const starts = new Map<LeavingStream, number>();
    let nextStartMs = nowMs;
    for (const stream of ordered) {
        const choice = choices.get(stream) as ReclaimChoice;
        if (choice.move !== ReclaimMove.Prefill) {
            continue;
        }
        if (nextStartMs + choice.moveMs > computeSlackMs(stream)) {
            choices.set(stream, { move: ReclaimMove.Shed, recomputedTokens: 0, moveMs: 0, costMicros: 0 });
            continue;
        }
        starts.set(stream, nextStartMs);
        nextStartMs += choice.recomputedTokens / tokensPerMs;
    }
    return starts;
}
