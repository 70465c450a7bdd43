/**
 * @module How other tasks hold a lease, so that at most one node acts on something at a time.
 *
 * A lease alone does not stop a holder that was paused between its check and its effect. Each effect therefore carries
 * the epoch (an order), or is conditional on the lease row (a table write).
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { RowCondition } from "../../ports/table";

/** A lease that this node holds, or held. It is renewed in the background until it is released or lost. */
export interface LeaseHandle {
    readonly name: string;
    /** Fencing number: rises with each holder, also when the same node acquires the lease again. */
    readonly epoch: number;
    /** Monotonic milliseconds of this node just before the write that acquired the lease was sent. */
    readonly acquiredAtMs: number;
    /**
     * Checks that the lease is held now and for `effectMs` milliseconds more (default 0). Call it right before each
     * effect, with nothing awaited in between. Gives the epoch; failure: `LeaseLost`.
     */
    checkHeld(effectMs?: number): Result<number, Failure>;
    /**
     * The condition that makes a table write fail once another node has taken the lease over. It also fails if this
     * node's own renewal overtakes the write: build the transaction again and retry.
     */
    buildFenceCondition(): RowCondition;
    /** Resolves once the lease has lapsed, was taken over, or was released. */
    readonly whenEnded: Promise<void>;
    /** Gives the lease up, so that another node can acquire it at once. Never rejects. */
    release(): Promise<void>;
}

/** Who holds a lease, as the table shows it. */
export interface LeaseView {
    readonly name: string;
    /** Absent once the lease was released. */
    readonly holderId: string | undefined;
    readonly epoch: number;
    readonly durationMs: number;
}

/** How to acquire a lease. */
export interface AcquireOptions {
    /** How long the lease lasts without renewal, in milliseconds (default 10,000). */
    readonly durationMs?: number;
    /** How long to keep trying while another node holds it, in milliseconds (default 0: one try). */
    readonly waitMs?: number;
}

/** Handle of the lease task. */
export interface LeaseClient {
    /**
     * Acquires a lease. Failures: `LeaseLost` while another node holds it (`details` name it, `retryAfterMs` says when
     * it can lapse at the earliest), `StoreUnavailable`, `StoreOutcomeUnknown`.
     */
    acquireLease(name: string, options?: AcquireOptions): Promise<Result<LeaseHandle, Failure>>;
    /** Reads who holds a lease; `undefined` if nobody ever did. */
    readLease(name: string): Promise<Result<LeaseView | undefined, Failure>>;
}
