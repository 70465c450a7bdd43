/**
 * @module The stored claim record that keeps a non-idempotent request from being executed twice.
 */

/** What is known about the execution of the request that holds a claim. */
export enum ClaimState {
    /** The holder may send the request, or has sent it. */
    Claimed = "claimed",
    /** The request was executed; the outcome is recorded. */
    Ran = "ran",
    /** No byte of the request was sent. The key can be claimed again. */
    NotRun = "not_run",
    /** Not known. Only the holder can still settle it, if it learns the result; the request is never sent again. */
    Unknown = "unknown",
}

/** A recorded outcome, stored in the row if it is small and in the object store otherwise. */
export type ClaimOutcome =
    { readonly isInline: true; readonly text: string } | { readonly isInline: false; readonly objectKey: string };

/** One claim. Its row key is a hash of the account and the idempotency key. */
export interface ClaimRecord {
    readonly state: ClaimState;
    /** SHA-256 of the request body; a different request with the same key is rejected. */
    readonly bodyHash: string;
    /** The request that holds the claim. */
    readonly requestId: string;
    /** The node that wrote the claim. */
    readonly nodeId: string;
    readonly claimedAtWallMs: number;
    /** Epoch milliseconds after which a claim that is still `Claimed` counts as `Unknown`. */
    readonly validUntilWallMs: number;
    readonly outcome?: ClaimOutcome;
}
