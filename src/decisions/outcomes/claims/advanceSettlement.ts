/**
 * @module The state machine by which the holder of a claim settles it: records whether its request was executed.
 */
import { type TableAnswer, TableAnswerKind } from "./advanceClaim";
import type { ClaimRecord } from "./claimRecord";
import { decideSettlement, type Settlement } from "./decideSettlement";

/** Kinds of steps. */
export enum SettlementStepKind {
    /** Read the row. */
    Read = "read",
    /** Write `record` if the row is still at `version`. */
    Commit = "commit",
    /** The settlement is recorded, or the row holds a record that must not be changed. */
    Done = "done",
    /** The store is unavailable; retry the settlement later. */
    Postponed = "postponed",
}

/** The next step of a settlement. */
export type SettlementStep =
    | { readonly kind: SettlementStepKind.Commit; readonly record: ClaimRecord; readonly version?: number }
    | { readonly kind: SettlementStepKind.Read }
    | { readonly kind: SettlementStepKind.Done }
    | { readonly kind: SettlementStepKind.Postponed };

/**
 * Begins a settlement.
 *
 * @param settlement - The result to record
 * @param known - The row as the holder last wrote it, if known; saves a read
 * @returns The first step
 * @example
 * let step = beginSettlement(settlement, { record, version });
 */
export function beginSettlement(
    settlement: Settlement,
    known?: { readonly record: ClaimRecord; readonly version: number },
): SettlementStep {
    return known === undefined
        ? { kind: SettlementStepKind.Read }
        : decideStep(settlement, known.record, known.version);
}

/**
 * Advances a settlement by the table's answer to its last step.
 *
 * @param settlement - The result to record
 * @param answer - The table's answer
 * @returns The next step
 * @example
 * step = advanceSettlement(settlement, answer);
 */
export function advanceSettlement(settlement: Settlement, answer: TableAnswer): SettlementStep {
    switch (answer.kind) {
        case TableAnswerKind.Row:
            return decideStep(settlement, answer.record, answer.version);
        case TableAnswerKind.Committed:
        case TableAnswerKind.Malformed:
            return { kind: SettlementStepKind.Done };
        case TableAnswerKind.Conflict:
        case TableAnswerKind.Unknown:
            return { kind: SettlementStepKind.Read };
        case TableAnswerKind.Unavailable:
            return { kind: SettlementStepKind.Postponed };
    }
}

function decideStep(settlement: Settlement, existing: ClaimRecord | undefined, version?: number): SettlementStep {
    const record = decideSettlement(existing, settlement);
    return record === undefined
        ? { kind: SettlementStepKind.Done }
        : { kind: SettlementStepKind.Commit, record, version };
}
