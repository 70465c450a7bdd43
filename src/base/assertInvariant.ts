/**
 * @module Invariants that the program checks at run time.
 */
import { createFailure } from "./createFailure";
import { FailureKind } from "./failure";
import { FailureError } from "./failureError";

/** The invariants of the program. Each check is cheap and always enabled, in production too. */
export enum Invariant {
    /** A request ends with exactly one outcome; no attempt is still running after it. */
    OneFinalOutcome = "one_final_outcome",
    /** A failure reports `not_run` only if no attempt can have been executed. */
    NotRunIsTrue = "not_run_is_true",
    /** A request that is not idempotent is executed at most once. */
    AtMostOnce = "at_most_once",
    /** The caller receives output only from the attempt that was chosen to answer its request. */
    BytesBelongToRequest = "bytes_belong_to_request",
    /** No request is routed to an endpoint that is being withdrawn. */
    NoWorkToLeavingEndpoint = "no_work_to_leaving_endpoint",
    /** A shutdown ends a running request only after the drain time. */
    NoStreamCutByShutdown = "no_stream_cut_by_shutdown",
    /** While an account waits, no other account is charged much more than it: admission is fair between accounts. */
    FairShareFloor = "fair_share_floor",
    /** The configuration revision in force never decreases. */
    RevisionNeverFalls = "revision_never_falls",
    /** A lease or job has one holder in each epoch. */
    OneHolderPerEpoch = "one_holder_per_epoch",
    /** An endpoint that does not check fencing tokens gets no order that conflicts with one still in progress. */
    NoConflictingOrders = "no_conflicting_orders",
    /** No request is routed to a version that this node has stopped sending work to (a braked version). */
    BrakedVersionGetsNothing = "braked_version_gets_nothing",
    /** A version move is completed only before its deadline. */
    MoveEndsByItsTime = "move_ends_by_its_time",
    /** No order to load weights goes to an endpoint that is being withdrawn. */
    NoLoadOrderToLeavingEndpoint = "no_load_order_to_leaving_endpoint",
}

const violationCounts = new Map<Invariant, number>();
let violationListener: ((invariant: Invariant, detail: string) => void) | undefined;

/**
 * Checks an invariant. A violation is counted and reported to the listener; with `REDWINGLIFT_INVARIANTS=fatal`, as in
 * tests, it also throws.
 *
 * @param holds - Whether the invariant holds
 * @param invariant - The invariant that is checked
 * @param detail - The observed state, for the log; must not contain secrets
 * @throws {FailureError} On a violation in fatal mode
 * @example
 * assertInvariant(revision >= applied, Invariant.RevisionNeverFalls, `${applied} -> ${revision}`);
 */
export function assertInvariant(holds: boolean, invariant: Invariant, detail: string): void {
    if (holds) {
        return;
    }
    violationCounts.set(invariant, (violationCounts.get(invariant) ?? 0) + 1);
    violationListener?.(invariant, detail);
    if (process.env["REDWINGLIFT_INVARIANTS"] === "fatal") {
        throw new FailureError(createFailure(FailureKind.InvariantBroken, `${invariant}: ${detail}`));
    }
}

/**
 * Counts the violations of each invariant in this process.
 *
 * @returns Counts by invariant; an invariant that was never violated is absent
 * @example
 * countInvariantViolations().get(Invariant.AtMostOnce) ?? 0;
 */
export function countInvariantViolations(): ReadonlyMap<Invariant, number> {
    return new Map(violationCounts);
}

/**
 * Sets the listener that is called on each violation, for logs and metrics. It replaces an earlier one.
 *
 * @param report - Receives the invariant and the observed state
 * @example
 * setInvariantViolationListener((invariant, detail) => log.error("an invariant does not hold", { invariant, detail }));
 */
export function setInvariantViolationListener(report: (invariant: Invariant, detail: string) => void): void {
    violationListener = report;
}
