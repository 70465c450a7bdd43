/**
 * @module Decides what a request with an idempotency key may do, from the claim stored under that key.
 */
import { type ClaimRecord, ClaimState } from "./claimRecord";

/** A request that claims an idempotency key. */
export interface Claimant {
    /** SHA-256 of the request body. */
    readonly bodyHash: string;
    readonly requestId: string;
    readonly nodeId: string;
    /** Epoch milliseconds after which the claim counts as `Unknown` unless it was settled. */
    readonly validUntilWallMs: number;
}

/** What the request may do. */
export enum ClaimVerdict {
    /** Write the record; if the write succeeds, the request holds the claim. */
    Write = "write",
    /** The request already holds the claim: its write took effect although the answer was lost. */
    Held = "held",
    /** Return the recorded outcome. */
    Replay = "replay",
    /** Another request holds the claim and may still end. */
    InProgress = "in_progress",
    /** Whether the request was executed is not known. */
    Unknown = "unknown",
    /** The holder's claim has expired: write the record, which marks it `Unknown`, then tell the caller so. */
    SettleUnknown = "settle_unknown",
    /** The key was already used for a different request body. */
    Reused = "reused",
}

/** A verdict, with the record to write or replay if there is one. */
export interface ClaimDecision {
    readonly verdict: ClaimVerdict;
    readonly record?: ClaimRecord;
}

/**
 * Decides whether a request may claim its key. Only a key without a claim, or one whose holder recorded that nothing
 * was sent, can be claimed.
 *
 * @param existing - The claim stored under the key, if there is one
 * @param claimant - The request that claims the key
 * @param nowWallMs - Epoch milliseconds
 * @returns The decision
 * @example
 * decideClaim(undefined, claimant, nowWallMs).verdict; //=> ClaimVerdict.Write
 */
export function decideClaim(existing: ClaimRecord | undefined, claimant: Claimant, nowWallMs: number): ClaimDecision {
    if (existing === undefined) {
        return { verdict: ClaimVerdict.Write, record: buildClaimed(claimant, nowWallMs) };
    }
    if (existing.bodyHash !== claimant.bodyHash) {
        return { verdict: ClaimVerdict.Reused };
    }
    return DECISIONS[existing.state](existing, claimant, nowWallMs);
}

const DECISIONS: Readonly<
    Record<ClaimState, (existing: ClaimRecord, claimant: Claimant, nowWallMs: number) => ClaimDecision>
> = {
    [ClaimState.Claimed]: (existing, claimant, nowWallMs) => {
        if (existing.requestId === claimant.requestId) {
            return { verdict: ClaimVerdict.Held, record: existing };
        }
        if (nowWallMs < existing.validUntilWallMs) {
            return { verdict: ClaimVerdict.InProgress, record: existing };
        }
        return { verdict: ClaimVerdict.SettleUnknown, record: { ...existing, state: ClaimState.Unknown } };
    },
    [ClaimState.Ran]: existing => ({ verdict: ClaimVerdict.Replay, record: existing }),
    [ClaimState.NotRun]: (existing, claimant, nowWallMs) =>
        existing.requestId === claimant.requestId
            ? { verdict: ClaimVerdict.Unknown, record: existing }
            : { verdict: ClaimVerdict.Write, record: buildClaimed(claimant, nowWallMs) },
    [ClaimState.Unknown]: existing => ({ verdict: ClaimVerdict.Unknown, record: existing }),
};

function buildClaimed(claimant: Claimant, nowWallMs: number): ClaimRecord {
    return {
        state: ClaimState.Claimed,
        bodyHash: claimant.bodyHash,
        requestId: claimant.requestId,
        nodeId: claimant.nodeId,
        claimedAtWallMs: nowWallMs,
        validUntilWallMs: claimant.validUntilWallMs,
    };
}
