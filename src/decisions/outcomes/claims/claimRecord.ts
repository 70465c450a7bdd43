/**
 * @module The durable record that guards an execution which may not be repeated.
 */

/** What is known about the execution under a claim. */
export enum ClaimState {
    /** The holder may send the request, or has sent it. */
    Claimed = "claimed",
    /** The request was executed; the outcome is recorded. */
    Ran = "ran",
    /** No byte of the request was sent. The key may be claimed again. */
    NotRun = "not_run",
    /** Nobody knows. It stays so unless the holder itself learns more; the request is never sent again. */
    Unknown = "unknown",
}

/** A recorded outcome: small ones in the row, large ones in the object store. */
export type ClaimOutcome =
    { readonly isInline: true; readonly text: string } | { readonly isInline: false; readonly objectKey: string };

/** One claim. Its row is keyed by the hash of account and idempotency key. */
export interface ClaimRecord {
    readonly state: ClaimState;
    /** SHA-256 of what the caller asked for; another request under the same key is refused. */
    readonly bodyHash: string;
    /** The request that holds the claim. */
    readonly requestId: string;
    readonly nodeId: string;
    readonly claimedAtWallMs: number;
    /** Epoch milliseconds after which a claim that is still `Claimed` counts as `Unknown`. */
    readonly validUntilWallMs: number;
    readonly outcome?: ClaimOutcome;
}
