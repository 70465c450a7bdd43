/**
 * @module The steps by which the holder of a claim records what became of its execution.
 */
import { type TableAnswer, TableAnswerKind } from "./advanceClaim";
import type { ClaimRecord } from "./claimRecord";
import { decideSettlement, type Settlement } from "./decideSettlement";

/** What to do next. */
export enum SettlementStepKind {
    Read = "read",
    /** Write `record` on condition that the row is at `version`. */
    Commit = "commit",
    /** The settlement is recorded, or another record stands that it must not change. */
    Done = "done",
    /** The store did not answer; try the settlement again later. */
    Postponed = "postponed",
}

/** The next step. */
export type SettlementStep =
    | { readonly kind: SettlementStepKind.Commit; readonly record: ClaimRecord; readonly version?: number }
    | { readonly kind: SettlementStepKind.Read }
    | { readonly kind: SettlementStepKind.Done }
    | { readonly kind: SettlementStepKind.Postponed };

/**
 * Begins a settlement.
 *
 * @param settlement - What the holder learned
 * @param known - The row as the holder last wrote it, which saves a read
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
 * Advances a settlement by an answer of the table to its last step.
 *
 * @param settlement - What the holder learned
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
