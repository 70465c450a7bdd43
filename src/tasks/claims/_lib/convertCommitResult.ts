/**
 * @module Converts commit results to the input of the claim procedure.
 */
import type { Result } from "neverthrow";
import { type Failure, FailureKind } from "../../../base/failure";
import { type TableAnswer, TableAnswerKind } from "../../../decisions/outcomes/claims/advanceClaim";

const COMMIT_FAILURES: ReadonlyMap<FailureKind, TableAnswerKind.Conflict | TableAnswerKind.Unknown> = new Map([
    [FailureKind.StoreConflict, TableAnswerKind.Conflict as const],
    [FailureKind.StoreOutcomeUnknown, TableAnswerKind.Unknown as const],
]);

/**
 * Converts the result of a commit to the input of the claim procedure.
 *
 * @param committed - Result of the group commit
 * @returns `Committed`, `Conflict`, `Unknown` or `Unavailable`
 * @example
 * convertCommitResult(await commits.commitEntry(entry));
 */
export function convertCommitResult(committed: Result<readonly (number | undefined)[], Failure>): TableAnswer {
    if (committed.isOk()) {
        return { kind: TableAnswerKind.Committed, version: committed.value[0] };
    }
    return { kind: COMMIT_FAILURES.get(committed.error.kind) ?? TableAnswerKind.Unavailable };
}
