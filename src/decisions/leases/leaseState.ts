/**
 * @module The state of a lease as known to one node.
 */

/** Content of a lease row. */
export interface LeaseRow {
    /** `undefined` after the lease was released. */
    readonly holderId: string | undefined;
    /** Increments each time the lease is acquired; serves as fencing token. */
    readonly epoch: number;
    /** Duration of the lease after each write of the row, in milliseconds. */
    readonly durationMs: number;
}

/** The row version that this node read last, and when it first saw that version. */
export interface LeaseObservation {
    readonly row: LeaseRow | undefined;
    /** `undefined` if there is no row. */
    readonly rowVersion: number | undefined;
    /** Monotonic milliseconds by this node's clock. */
    readonly firstSeenAtMs: number;
}

/** A lease held by this node. */
export interface HeldLease {
    readonly epoch: number;
    readonly rowVersion: number;
    /** Monotonic milliseconds just before the write that acquired the lease was sent. */
    readonly acquiredAtMs: number;
    /** Monotonic milliseconds until which this node may act as the holder. */
    readonly validUntilMs: number;
}

/** A write that was sent and whose outcome is not known. */
export interface PendingLeaseWrite {
    /** Unique id of the write. The table keeps it with the row; a read thus shows whether the write took effect. */
    readonly token: string;
    /** Monotonic milliseconds just before the write was sent. */
    readonly sentAtMs: number;
    readonly row: LeaseRow;
    /** The row version that the write is conditional on. */
    readonly expectedVersion: number | undefined;
}

/** This node's id and the lease's times. */
export interface LeaseTerms {
    /** Id under which this node holds the lease. */
    readonly holderId: string;
    readonly durationMs: number;
    /** Covers clock drift between machines: a holder stops this much earlier, and a takeover waits this much longer. */
    readonly marginMs: number;
}

/** Everything that one node knows about one lease. */
export interface LeaseState {
    readonly terms: LeaseTerms;
    /** The row as last read; `undefined` before the first read. */
    readonly seen: LeaseObservation | undefined;
    /** The lease as held by this node; `undefined` if it does not hold it. May have expired. */
    readonly held: HeldLease | undefined;
    /** Pending writes. All are conditional on the same row version, so at most one of them can take effect. */
    readonly sent: readonly PendingLeaseWrite[];
    /** True if the row must be read before the next write. */
    readonly needsRead: boolean;
}

/** Kinds of steps that a node takes to hold a lease. */
export enum LeaseStepKind {
    /** Read the row. */
    Read = "read",
    /** Write the row to acquire, renew or release the lease. */
    Write = "write",
    /** Another node holds the lease; wait until `untilMs`. */
    Wait = "wait",
}

/** The next step of a node for a lease. */
export type LeaseStep =
    | { readonly kind: LeaseStepKind.Read }
    | {
          readonly kind: LeaseStepKind.Write;
          readonly row: LeaseRow;
          readonly expectedVersion: number | undefined;
      }
    | { readonly kind: LeaseStepKind.Wait; readonly untilMs: number };

/** A lease row as read from the table. */
export interface StoredLeaseRow {
    readonly row: LeaseRow;
    readonly rowVersion: number;
    /** Token of the write that wrote this version. */
    readonly token: string;
}

/** Outcome of a write of the row. */
export enum LeaseWriteOutcome {
    Accepted = "accepted",
    /** The row version did not match; the write had no effect and never will. */
    Conflict = "conflict",
    /** The store rejected the write, which had no effect and never will. */
    Refused = "refused",
    /** The answer was lost; the write may have taken effect, or may still do so. */
    Unknown = "unknown",
}
