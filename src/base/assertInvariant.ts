/**
 * @module Invariants that the program checks about itself while it runs.
 */
import { createFailure } from "./createFailure";
import { FailureKind } from "./failure";
import { FailureError } from "./failureError";

/** The invariants of the program. Each is cheap to check and checked always. */
export enum Invariant {
    OneFinalOutcome = "one_final_outcome",
    NotRunIsTrue = "not_run_is_true",
    AtMostOnce = "at_most_once",
    BytesBelongToRequest = "bytes_belong_to_request",
    NoWorkToLeavingEndpoint = "no_work_to_leaving_endpoint",
    NoStreamCutByShutdown = "no_stream_cut_by_shutdown",
    FairShareFloor = "fair_share_floor",
    RevisionNeverFalls = "revision_never_falls",
    OneHolderPerEpoch = "one_holder_per_epoch",
    NoConflictingOrders = "no_conflicting_orders",
    BrakedVersionGetsNothing = "braked_version_gets_nothing",
    MoveEndsByItsTime = "move_ends_by_its_time",
    NoLoadOrderToLeavingEndpoint = "no_load_order_to_leaving_endpoint",
}

const breaches = new Map<Invariant, number>();
let listener: ((invariant: Invariant, detail: string) => void) | undefined;

/**
 * Checks an invariant. A breach is counted and reported; with `REDWINGLIFT_INVARIANTS=fatal`, as in tests, it throws.
 *
 * @param holds - Whether the invariant holds here
 * @param invariant - Which one
 * @param detail - What was seen, for the log; no secrets
 * @throws {FailureError} On a breach in fatal mode
 * @example
 * assertInvariant(revision >= applied, Invariant.RevisionNeverFalls, `${applied} -> ${revision}`);
 */
export function assertInvariant(holds: boolean, invariant: Invariant, detail: string): void {
    if (holds) {
        return;
    }
    breaches.set(invariant, (breaches.get(invariant) ?? 0) + 1);
    listener?.(invariant, detail);
    if (process.env["REDWINGLIFT_INVARIANTS"] === "fatal") {
        throw new FailureError(createFailure(FailureKind.InvariantBroken, `${invariant}: ${detail}`));
    }
}

/**
 * Reads how often each invariant was broken in this process.
 *
 * @returns Counts by invariant; an invariant that always held is absent
 * @example
 * countBreaches().get(Invariant.AtMostOnce) ?? 0;
 */
export function countBreaches(): ReadonlyMap<Invariant, number> {
    return new Map(breaches);
}

/**
 * Sets the one listener that hears of each breach, for logs and metrics.
 *
 * @param report - Receives the invariant and what was seen
 * @example
 * setBreachListener((invariant, detail) => log.error("invariant broken", { invariant, detail }));
 */
export function setBreachListener(report: (invariant: Invariant, detail: string) => void): void {
    listener = report;
}
