/**
 * @module The table calls of claims, with their answers in the form that the claim procedure takes.
 */
import type { Result } from "neverthrow";
import { type Failure, FailureKind } from "../../../base/failure";
import { type TableAnswer, TableAnswerKind } from "../../../decisions/outcomes/claims/advanceClaim";
import type { ClaimRecord } from "../../../decisions/outcomes/claims/claimRecord";
import { decodeClaim } from "../../../decisions/outcomes/claims/decodeClaim";
import { encodeClaim } from "../../../decisions/outcomes/claims/encodeClaim";
import type { TableRow } from "../../../ports/table";
import type { CommitEntry } from "../commitClient";

/**
 * Puts the answer to a read in the procedure's form.
 *
 * @param read - The table's answer
 * @returns `Row`, `Malformed` or `Unavailable`
 * @example
 * toReadAnswer(await table.readRow(key));
 */
export function toReadAnswer(read: Result<TableRow | undefined, Failure>): TableAnswer {
    if (read.isErr()) {
        return { kind: TableAnswerKind.Unavailable };
    }
    if (read.value === undefined) {
        return { kind: TableAnswerKind.Row };
    }
    const record = decodeClaim(read.value.value);
    return record === undefined
        ? { kind: TableAnswerKind.Malformed }
        : { kind: TableAnswerKind.Row, record, version: read.value.version };
}

/**
 * Puts the answer to a commit in the procedure's form.
 *
 * @param committed - The group commit's answer
 * @returns `Committed`, `Conflict`, `Unknown` or `Unavailable`
 * @example
 * toCommitAnswer(await commits.commitEntry(entry));
 */
export function toCommitAnswer(committed: Result<readonly (number | undefined)[], Failure>): TableAnswer {
    if (committed.isOk()) {
        return { kind: TableAnswerKind.Committed, version: committed.value[0] };
    }
    return { kind: COMMIT_FAILURES.get(committed.error.kind) ?? TableAnswerKind.Unavailable };
}

const COMMIT_FAILURES: ReadonlyMap<FailureKind, TableAnswerKind.Conflict | TableAnswerKind.Unknown> = new Map([
    [FailureKind.StoreConflict, TableAnswerKind.Conflict as const],
    [FailureKind.StoreOutcomeUnknown, TableAnswerKind.Unknown as const],
]);

/**
 * Builds the conditional write of a claim.
 *
 * @param key - The row's key
 * @param record - The record to write
 * @param version - The version that the row must have; absent where it must not exist
 * @returns The entry for the group commit
 * @example
 * commits.commitEntry(buildClaimEntry(key, record, version));
 */
export function buildClaimEntry(key: string, record: ClaimRecord, version: number | undefined): CommitEntry {
    return { conditions: [{ key, version }], writes: [{ key, value: encodeClaim(record) }] };
}
