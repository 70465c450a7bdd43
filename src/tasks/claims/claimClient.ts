/**
 * @module Interface through which executions claim idempotency keys, so that requests that must not be repeated are
 * executed at most once.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { ClaimState } from "../../decisions/outcomes/claims/claimRecord";

/** A request that must be executed at most once. */
export interface ClaimRequest {
    readonly accountName: string;
    readonly idempotencyKey: string;
    readonly requestId: string;
    /** The caller's request in canonical form; only its hash is stored. */
    readonly body: string | Buffer;
    /** Monotonic milliseconds by which the request ends or fails. */
    readonly deadlineAtMs: number;
    /** Monotonic milliseconds until which a claim is retried while the store is unavailable. */
    readonly waitUntilMs: number;
}

/** What is recorded about an execution once it has ended. */
export interface ClaimSettlement {
    readonly state: ClaimState.Ran | ClaimState.NotRun | ClaimState.Unknown;
    /** The outcome to return when the key is used again; only for `Ran`. */
    readonly outcome?: string;
}

/** A claim held by a request. */
export interface HeldClaim {
    /**
     * Records the result of the execution. Resolves to true once it is recorded, or to false after `waitMs`; recording
     * then continues in the background until it succeeds or `SETTLEMENT_TIMEOUT_MS` has passed.
     */
    settle(settlement: ClaimSettlement, waitMs: number): Promise<boolean>;
}

/** Kinds of claim results. */
export enum ClaimResultKind {
    /** The key is free; `acquireClaim` may be tried. */
    Free = "free",
    /** The request holds the claim and may be executed. */
    Held = "held",
    /** An earlier request with the key was executed; its outcome is returned. */
    Replay = "replay",
}

/** Result of a lookup or a claim that did not fail. */
export type ClaimResult =
    | { readonly kind: ClaimResultKind.Free }
    | { readonly kind: ClaimResultKind.Held; readonly claim: HeldClaim }
    | { readonly kind: ClaimResultKind.Replay; readonly outcome: string };

/**
 * Client of the claim task. Failures: `IdempotencyKeyReused`, `IdempotencyKeyInProgress`, `OutcomeUnknown` and
 * `StoreUnavailable`.
 */
export interface ClaimClient {
    /** Looks up a key without claiming it, so that a replay does not have to pass admission control. Never `Held`. */
    lookUpKey(request: ClaimRequest): Promise<Result<ClaimResult, Failure>>;
    /** Claims a key. Never `Free`. */
    acquireClaim(request: ClaimRequest): Promise<Result<ClaimResult, Failure>>;
}
