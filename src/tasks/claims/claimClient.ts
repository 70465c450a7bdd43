/**
 * @module How executions claim idempotency keys, so that what may not be repeated runs at most once.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { ClaimState } from "../../decisions/outcomes/claims/claimRecord";

/** A request that wants to be executed at most once. */
export interface ClaimRequest {
    readonly accountName: string;
    readonly idempotencyKey: string;
    readonly requestId: string;
    /** Everything that the caller asked for, in a fixed form; only its hash is kept. */
    readonly body: string | Buffer;
    /** Monotonic milliseconds at which the request fails at the latest. */
    readonly deadlineAtMs: number;
    /** Monotonic milliseconds until which a claim waits for a store that is down. */
    readonly waitUntilMs: number;
}

/** What an ended execution records. */
export interface ClaimSettlement {
    readonly state: ClaimState.Ran | ClaimState.NotRun | ClaimState.Unknown;
    /** The outcome to give when the key is used again; for `Ran`. */
    readonly outcome?: string;
}

/** A claim held by a request. */
export interface HeldClaim {
    /**
     * Records what became of the execution. Resolves with true once it is recorded and with false after `waitMs`; the
     * recording goes on in the background until it succeeds or the patience for it ends.
     */
    settle(settlement: ClaimSettlement, waitMs: number): Promise<boolean>;
}

/** What a claim came to. */
export enum ClaimResultKind {
    /** The key is free; `acquireClaim` may be tried. */
    Free = "free",
    Held = "held",
    /** An earlier request under the key was executed. */
    Replay = "replay",
}

/** An answer that is no failure. */
export type ClaimResult =
    | { readonly kind: ClaimResultKind.Free }
    | { readonly kind: ClaimResultKind.Held; readonly claim: HeldClaim }
    | { readonly kind: ClaimResultKind.Replay; readonly outcome: string };

/**
 * Handle of the claim task. Failures: `IdempotencyKeyReused`, `IdempotencyKeyInProgress`, `OutcomeUnknown` and
 * `StoreUnavailable`.
 */
export interface ClaimClient {
    /** Looks a key up without claiming it, so that a replay needs no admission. Never `Held`. */
    lookUpKey(request: ClaimRequest): Promise<Result<ClaimResult, Failure>>;
    /** Claims a key. Never `Free`. */
    acquireClaim(request: ClaimRequest): Promise<Result<ClaimResult, Failure>>;
}
