/**
 * @module The state of one lease as one node sees it.
 */

/** Content of a lease row. */
export interface LeaseRow {
    /** Absent once the lease was released. */
    readonly holderId: string | undefined;
    /** Rises by one each time the lease is acquired. */
    readonly epoch: number;
    /** How long the lease lasts after each write of the row, in milliseconds. */
    readonly durationMs: number;
}

/** A version of the row, and when this node first saw it. */
export interface LeaseObservation {
    readonly row: LeaseRow | undefined;
    /** Absent while there is no row. */
    readonly rowVersion: number | undefined;
    /** Monotonic milliseconds of this node. */
    readonly firstSeenAtMs: number;
}

/** A lease held by this node. */
export interface HeldLease {
    readonly epoch: number;
    readonly rowVersion: number;
    /** Monotonic milliseconds just before the write that acquired the lease was sent. */
    readonly acquiredAtMs: number;
    /** Monotonic milliseconds before which this node may act. */
    readonly validUntilMs: number;
}

/** A write that was sent and is not known to have failed. */
export interface PendingLeaseWrite {
    readonly token: string;
    readonly sentAtMs: number;
    readonly row: LeaseRow;
    /** The row version the write is conditional on. */
    readonly expectedVersion: number | undefined;
}

/** Who the node is and how it counts time. */
export interface LeaseTerms {
    readonly holderId: string;
    readonly durationMs: number;
    /** Covers the difference between the rates of two machines' clocks; a holder stops earlier, a taker waits longer. */
    readonly marginMs: number;
}

/** All that one node knows of one lease. */
export interface LeaseState {
    readonly terms: LeaseTerms;
    readonly seen: LeaseObservation | undefined;
    readonly held: HeldLease | undefined;
    /** Writes whose outcome is open. All are conditional on the same row version, so at most one can take effect. */
    readonly sent: readonly PendingLeaseWrite[];
    /** True while the row must be read before anything more is written. */
    readonly needsRead: boolean;
}

/** What a node can do next about a lease. */
export enum LeaseStepKind {
    /** Read the row. */
    Read = "read",
    /** Write the row to acquire, renew or release the lease. */
    Write = "write",
    /** Another node holds it; nothing can be done before `untilMs`. */
    Wait = "wait",
}

/** The next step about a lease. */
export type LeaseStep =
    | { readonly kind: LeaseStepKind.Read }
    | {
          readonly kind: LeaseStepKind.Write;
          readonly row: LeaseRow;
          readonly expectedVersion: number | undefined;
      }
    | { readonly kind: LeaseStepKind.Wait; readonly untilMs: number };

/** A row as read from the table. */
export interface StoredLeaseRow {
    readonly row: LeaseRow;
    readonly rowVersion: number;
    readonly token: string;
}

/** How a write of the row ended. */
export enum LeaseWriteOutcome {
    Accepted = "accepted",
    /** A condition did not hold; the write had no effect and never will. */
    Conflict = "conflict",
    /** The write had no effect and never will. */
    Refused = "refused",
    /** The answer was lost; the write may have taken effect or may still do so. */
    Unknown = "unknown",
}
