/**
 * @module The state machine by which a request claims its idempotency key through conditional writes to the table.
 *
 * It is pure, so that the claim task and the exhaustive exploration in the tests run the same transitions.
 */
import type { ClaimRecord } from "./claimRecord";
import { type Claimant, ClaimVerdict, decideClaim } from "./decideClaim";

/** Number of conflicts and lost answers after which a claim is abandoned. */
const MAXIMUM_CLAIM_TRIES = 6;

/** Kinds of answers from the table. */
export enum TableAnswerKind {
    /** The current row. */
    Row = "row",
    /** The row does not hold a valid claim record. */
    Malformed = "malformed",
    Committed = "committed",
    Conflict = "conflict",
    /** The table could not be reached; nothing was written. */
    Unavailable = "unavailable",
    /** The answer was lost: the write may have taken effect, or may still do so. */
    Unknown = "unknown",
}

/** An answer from the table to a read or a commit. */
export type TableAnswer =
    | { readonly kind: TableAnswerKind.Row; readonly record?: ClaimRecord; readonly version?: number }
    | { readonly kind: TableAnswerKind.Committed; readonly version?: number }
    | { readonly kind: Exclude<TableAnswerKind, TableAnswerKind.Row | TableAnswerKind.Committed> };

/** Kinds of steps. */
export enum ClaimStepKind {
    /** Read the row. */
    Read = "read",
    /** Write `record` if the row is still at `version`. */
    Commit = "commit",
    /** The claim procedure has ended. */
    End = "end",
}

/** Results of a claim procedure. */
export enum ClaimProcedureResult {
    /** The request holds the claim and may be sent, once. */
    Held = "held",
    /** The request was already executed; its recorded outcome is returned. */
    Replay = "replay",
    /** Another request holds the claim and may still end. */
    InProgress = "in_progress",
    /** Whether the request was executed is not known. */
    Unknown = "unknown",
    /** The key was already used for a different request body. */
    Reused = "reused",
    /** The store gave no usable answer. Nothing was sent. */
    StoreDown = "store_down",
}

/** The next step of a claim procedure. */
export type ClaimStep =
    | { readonly kind: ClaimStepKind.Read }
    | { readonly kind: ClaimStepKind.Commit; readonly record: ClaimRecord; readonly version?: number }
    | {
          readonly kind: ClaimStepKind.End;
          readonly end: ClaimProcedureResult;
          /** The record that is held, replayed or blocks the claim. */
          readonly record?: ClaimRecord;
          /** Version of the row, if known. */
          readonly version?: number;
      };

/** Progress of one claim. */
export interface ClaimProcedure {
    readonly claimant: Claimant;
    /** Conflicts and lost answers so far. */
    readonly tries: number;
    /** True once the answer to a write was lost, in which case the row may come to name this request as holder. */
    readonly hasLostAnswer: boolean;
    readonly step: ClaimStep;
}

/**
 * Begins a claim.
 *
 * @param claimant - The request that claims the key
 * @returns The procedure, whose first step is a read
 * @example
 * let procedure = beginClaim(claimant);
 */
export function beginClaim(claimant: Claimant): ClaimProcedure {
    return { claimant, tries: 0, hasLostAnswer: false, step: { kind: ClaimStepKind.Read } };
}

/**
 * Advances a claim by the table's answer to its last step.
 *
 * @param procedure - Progress of the claim, whose step is a read or a commit
 * @param answer - The table's answer
 * @param nowWallMs - Epoch milliseconds
 * @returns The progress after the answer
 * @example
 * procedure = advanceClaim(procedure, answer, clock.readWallMs());
 */
export function advanceClaim(procedure: ClaimProcedure, answer: TableAnswer, nowWallMs: number): ClaimProcedure {
    switch (answer.kind) {
        case TableAnswerKind.Row:
            return applyRow(procedure, answer.record, answer.version, nowWallMs);
        case TableAnswerKind.Malformed:
            return endClaim(procedure, ClaimProcedureResult.Unknown);
        case TableAnswerKind.Committed:
            return applyCommitted(procedure, answer.version);
        case TableAnswerKind.Conflict:
            return readAgain(procedure, procedure.hasLostAnswer);
        case TableAnswerKind.Unknown:
            return readAgain(procedure, true);
        case TableAnswerKind.Unavailable:
            return endClaim(
                procedure,
                isSettling(procedure) ? ClaimProcedureResult.Unknown : ClaimProcedureResult.StoreDown,
            );
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
    return endClaim(procedure, RESULTS[decision.verdict], decision.record, version);
}

const RESULTS: Readonly<
    Record<Exclude<ClaimVerdict, ClaimVerdict.Write | ClaimVerdict.SettleUnknown>, ClaimProcedureResult>
> = {
    [ClaimVerdict.Held]: ClaimProcedureResult.Held,
    [ClaimVerdict.Replay]: ClaimProcedureResult.Replay,
    [ClaimVerdict.InProgress]: ClaimProcedureResult.InProgress,
    [ClaimVerdict.Unknown]: ClaimProcedureResult.Unknown,
    [ClaimVerdict.Reused]: ClaimProcedureResult.Reused,
};

function applyCommitted(procedure: ClaimProcedure, version: number | undefined): ClaimProcedure {
    const record = procedure.step.kind === ClaimStepKind.Commit ? procedure.step.record : undefined;
    return endClaim(
        procedure,
        isSettling(procedure) ? ClaimProcedureResult.Unknown : ClaimProcedureResult.Held,
        record,
        version,
    );
}

/** Whether the pending write marks another request's expired claim as `Unknown`. */
function isSettling(procedure: ClaimProcedure): boolean {
    const { step, claimant } = procedure;
    return step.kind === ClaimStepKind.Commit && step.record.requestId !== claimant.requestId;
}

function readAgain(procedure: ClaimProcedure, hasLostAnswer: boolean): ClaimProcedure {
    if (procedure.tries + 1 >= MAXIMUM_CLAIM_TRIES) {
        return endClaim({ ...procedure, hasLostAnswer }, ClaimProcedureResult.StoreDown);
    }
    return { ...procedure, hasLostAnswer, tries: procedure.tries + 1, step: { kind: ClaimStepKind.Read } };
}

function endClaim(
    procedure: ClaimProcedure,
    end: ClaimProcedureResult,
    record?: ClaimRecord,
    version?: number,
): ClaimProcedure {
    return { ...procedure, step: { kind: ClaimStepKind.End, end, record, version } };
}
