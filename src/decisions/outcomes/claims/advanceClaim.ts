/**
 * @module The steps by which a request claims its idempotency key, given what the table answers.
 *
 * The procedure is pure so that the claim task and the exhaustive explorer of its tests run the same steps.
 */
import type { ClaimRecord } from "./claimRecord";
import { type Claimant, ClaimVerdict, decideClaim } from "./decideClaim";

/** Conflicts and lost answers after which a claim is given up. */
const MAXIMUM_CLAIM_TRIES = 6;

/** How an answer of the table reads. */
export enum TableAnswerKind {
    /** The row as it is. */
    Row = "row",
    /** The row is no claim this program can read. */
    Malformed = "malformed",
    Committed = "committed",
    Conflict = "conflict",
    /** Nothing took effect. */
    Unavailable = "unavailable",
    /** The write may have taken effect, or may still do so. */
    Unknown = "unknown",
}

/** An answer of the table, to a read or a commit. */
export type TableAnswer =
    | { readonly kind: TableAnswerKind.Row; readonly record?: ClaimRecord; readonly version?: number }
    | { readonly kind: TableAnswerKind.Committed; readonly version?: number }
    | { readonly kind: Exclude<TableAnswerKind, TableAnswerKind.Row | TableAnswerKind.Committed> };

/** What to do next. */
export enum ClaimStepKind {
    Read = "read",
    /** Write `record` on condition that the row is at `version`. */
    Commit = "commit",
    End = "end",
}

/** How a claim ended. */
export enum ClaimResult {
    /** The request holds the claim and may be sent, once. */
    Held = "held",
    Replay = "replay",
    InProgress = "in_progress",
    Unknown = "unknown",
    Reused = "reused",
    /** The store gave no answer to build on. Nothing was sent. */
    StoreDown = "store_down",
}

/** The next step. */
export type ClaimStep =
    | { readonly kind: ClaimStepKind.Read }
    | { readonly kind: ClaimStepKind.Commit; readonly record: ClaimRecord; readonly version?: number }
    | {
          readonly kind: ClaimStepKind.End;
          readonly end: ClaimResult;
          /** The record held, replayed or in the way. */
          readonly record?: ClaimRecord;
          /** Version of the row, where known. */
          readonly version?: number;
      };

/** Where a claim stands. */
export interface ClaimProcedure {
    readonly claimant: Claimant;
    readonly tries: number;
    /** True once a write's answer was lost: the row may come to hold this request. */
    readonly hasLostAnswer: boolean;
    readonly step: ClaimStep;
}

/**
 * Begins a claim.
 *
 * @param ask - Who claims
 * @returns The procedure, whose first step is a read
 * @example
 * let procedure = beginClaim(ask);
 */
export function beginClaim(ask: Claimant): ClaimProcedure {
    return { claimant: ask, tries: 0, hasLostAnswer: false, step: { kind: ClaimStepKind.Read } };
}

/**
 * Advances a claim by an answer of the table to its last step.
 *
 * @param procedure - Where the claim stands; its step is a read or a commit
 * @param answer - The table's answer
 * @param nowWallMs - Epoch milliseconds
 * @returns Where the claim stands then
 * @example
 * procedure = advanceClaim(procedure, answer, clock.readWallMs());
 */
export function advanceClaim(procedure: ClaimProcedure, answer: TableAnswer, nowWallMs: number): ClaimProcedure {
    switch (answer.kind) {
        case TableAnswerKind.Row:
            return applyRow(procedure, answer.record, answer.version, nowWallMs);
        case TableAnswerKind.Malformed:
            return endClaim(procedure, ClaimResult.Unknown);
        case TableAnswerKind.Committed:
            return applyCommitted(procedure, answer.version);
        case TableAnswerKind.Conflict:
            return readAgain(procedure, procedure.hasLostAnswer);
        case TableAnswerKind.Unknown:
            return readAgain(procedure, true);
        case TableAnswerKind.Unavailable:
            return endClaim(procedure, isSettling(procedure) ? ClaimResult.Unknown : ClaimResult.StoreDown);
    }
}

function applyRow(
    procedure: ClaimProcedure,
    record: ClaimRecord | undefined,
    version: number | undefined,
    nowWallMs: number,
): ClaimProcedure {
    const decision = decideClaim(record, procedure.claimant, nowWallMs);
    if (decision.verdict === ClaimVerdict.Write || decision.verdict === ClaimVerdict.SettleUnknown) {
        return {
            ...procedure,
            step: { kind: ClaimStepKind.Commit, record: decision.record as ClaimRecord, version },
        };
    }
    return endClaim(procedure, ENDS[decision.verdict], decision.record, version);
}

const ENDS: Readonly<Record<Exclude<ClaimVerdict, ClaimVerdict.Write | ClaimVerdict.SettleUnknown>, ClaimResult>> = {
    [ClaimVerdict.Held]: ClaimResult.Held,
    [ClaimVerdict.Replay]: ClaimResult.Replay,
    [ClaimVerdict.InProgress]: ClaimResult.InProgress,
    [ClaimVerdict.Unknown]: ClaimResult.Unknown,
    [ClaimVerdict.Reused]: ClaimResult.Reused,
};

function applyCommitted(procedure: ClaimProcedure, version: number | undefined): ClaimProcedure {
    const record = procedure.step.kind === ClaimStepKind.Commit ? procedure.step.record : undefined;
    return endClaim(procedure, isSettling(procedure) ? ClaimResult.Unknown : ClaimResult.Held, record, version);
}

/** True while the write of another request's expired claim as `Unknown` is under way. */
function isSettling(procedure: ClaimProcedure): boolean {
    const { step, claimant: ask } = procedure;
    return step.kind === ClaimStepKind.Commit && step.record.requestId !== ask.requestId;
}

function readAgain(procedure: ClaimProcedure, hasLostAnswer: boolean): ClaimProcedure {
    if (procedure.tries + 1 >= MAXIMUM_CLAIM_TRIES) {
        return endClaim({ ...procedure, hasLostAnswer }, ClaimResult.StoreDown);
    }
    return { ...procedure, hasLostAnswer, tries: procedure.tries + 1, step: { kind: ClaimStepKind.Read } };
}

function endClaim(procedure: ClaimProcedure, end: ClaimResult, record?: ClaimRecord, version?: number): ClaimProcedure {
    return { ...procedure, step: { kind: ClaimStepKind.End, end, record, version } };
}
