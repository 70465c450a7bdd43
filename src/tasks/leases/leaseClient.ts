/**
 * @module Leases for other tasks: at most one node at a time acts on something.
 *
 * A lease alone does not stop a holder that was paused between its check and its effect. Each effect is therefore
 * fenced: an order carries the epoch, and a table write is conditional on the lease row.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { RowCondition } from "../../ports/table";

/** A lease that this node holds or has held. It is renewed in the background until it is released or lost. */
export interface LeaseHandle {
    readonly name: string;
    /** Fencing token: increases with each acquisition, even by the same node. */
    readonly epoch: number;
    /** Monotonic milliseconds of this node just before the write that acquired the lease was sent. */
    readonly acquiredAtMs: number;
    /**
     * Checks that the lease is held now and for another `effectMs` milliseconds (default 0). Call it right before each
     * effect, with no `await` in between. Returns the epoch; fails with `LeaseLost`.
     */
    checkHeld(effectMs?: number): Result<number, Failure>;
    /**
     * Builds the condition that makes a table write fail once another node has taken over the lease. The write also
     * fails if this node's own renewal is committed first: rebuild the transaction and retry.
     */
    buildFenceCondition(): RowCondition;
    /** Resolves once the lease has expired, was taken over, or was released. */
    readonly whenEnded: Promise<void>;
    /** Releases the lease so that another node can acquire it at once. Never rejects. */
    release(): Promise<void>;
}

/** Who holds a lease according to the table. */
export interface LeaseView {
    readonly name: string;
    /** Absent once the lease was released. */
    readonly holderId: string | undefined;
    readonly epoch: number;
    readonly durationMs: number;
}

/** Options for acquiring a lease. */
export interface AcquireOptions {
    /** How long the lease lasts without renewal, in milliseconds (default 10,000). */
    readonly durationMs?: number;
    /** How long to keep trying while another node holds it, in milliseconds (default 0: one attempt). */
    readonly waitMs?: number;
}

/** Client of the lease task. */
export interface LeaseClient {
    /**
     * Acquires a lease. Failures: `LeaseLost` while another node holds it (`details` name the holder, `retryAfterMs`
     * is the time until it can expire at the earliest), `StoreUnavailable`, `StoreOutcomeUnknown`.
     */
    acquireLease(name: string, options?: AcquireOptions): Promise<Result<LeaseHandle, Failure>>;
    /** Reads who holds a lease; `undefined` if it was never acquired. */
    readLease(name: string): Promise<Result<LeaseView | undefined, Failure>>;
}
