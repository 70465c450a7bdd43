/**
 * @module What a request with an idempotency key may do, given the row under its key.
 */
import { type ClaimRecord, ClaimState } from "./claimRecord";

/** Who wants to claim a key. */
export interface Claimant {
    readonly bodyHash: string;
    readonly requestId: string;
    readonly nodeId: string;
    /** Epoch milliseconds after which the claim counts as `Unknown` if nothing else is recorded. */
    readonly validUntilWallMs: number;
}

/** What is to be done. */
export enum ClaimVerdict {
    /** Write the record; if that succeeds, the request holds the claim. */
    Write = "write",
    /** The request holds the claim already: its write took effect though the answer was lost. */
    Held = "held",
    /** Give the recorded outcome. */
    Replay = "replay",
    /** Another request holds the claim and may still end. */
    InProgress = "in_progress",
    /** The outcome is not known. */
    Unknown = "unknown",
    /** Write the record, which says that the outcome is not known, then tell the caller so. */
    SettleUnknown = "settle_unknown",
    /** The key was used for another request. */
    Reused = "reused",
}

/** A verdict, with the record to write or to replay where there is one. */
export interface ClaimDecision {
    readonly verdict: ClaimVerdict;
    readonly record?: ClaimRecord;
}

/**
 * Decides about a claim. Only an absent row, or one whose holder recorded that nothing was sent, can be claimed.
 *
 * @param existing - The row under the key, if there is one
 * @param ask - Who asks
 * @param nowWallMs - Epoch milliseconds
 * @returns The decision
 * @example
 * decideClaim(undefined, ask, nowWallMs).verdict; //=> ClaimVerdict.Write
 */
export function decideClaim(existing: ClaimRecord | undefined, ask: Claimant, nowWallMs: number): ClaimDecision {
    if (existing === undefined) {
        return { verdict: ClaimVerdict.Write, record: buildClaimed(ask, nowWallMs) };
    }
    if (existing.bodyHash !== ask.bodyHash) {
        return { verdict: ClaimVerdict.Reused };
    }
    return DECISIONS[existing.state](existing, ask, nowWallMs);
}

const DECISIONS: Readonly<
    Record<ClaimState, (existing: ClaimRecord, ask: Claimant, nowWallMs: number) => ClaimDecision>
> = {
    [ClaimState.Claimed]: (existing, ask, nowWallMs) => {
        if (existing.requestId === ask.requestId) {
            return { verdict: ClaimVerdict.Held, record: existing };
        }
        if (nowWallMs < existing.validUntilWallMs) {
            return { verdict: ClaimVerdict.InProgress, record: existing };
        }
        return { verdict: ClaimVerdict.SettleUnknown, record: { ...existing, state: ClaimState.Unknown } };
    },
    [ClaimState.Ran]: existing => ({ verdict: ClaimVerdict.Replay, record: existing }),
    [ClaimState.NotRun]: (existing, ask, nowWallMs) =>
        existing.requestId === ask.requestId
            ? { verdict: ClaimVerdict.Unknown, record: existing }
            : { verdict: ClaimVerdict.Write, record: buildClaimed(ask, nowWallMs) },
    [ClaimState.Unknown]: existing => ({ verdict: ClaimVerdict.Unknown, record: existing }),
};

function buildClaimed(ask: Claimant, nowWallMs: number): ClaimRecord {
    return {
        state: ClaimState.Claimed,
        bodyHash: ask.bodyHash,
        requestId: ask.requestId,
        nodeId: ask.nodeId,
        claimedAtWallMs: nowWallMs,
        validUntilWallMs: ask.validUntilWallMs,
    };
}
