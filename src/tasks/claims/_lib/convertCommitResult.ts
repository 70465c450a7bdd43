/**
 * @module Answers to commits in the form that the claim procedure takes.
 */
import type { Result } from "neverthrow";
import { type Failure, FailureKind } from "../../../base/failure";
import { type TableAnswer, TableAnswerKind } from "../../../decisions/outcomes/claims/advanceClaim";

const COMMIT_FAILURES: ReadonlyMap<FailureKind, TableAnswerKind.Conflict | TableAnswerKind.Unknown> = new Map([
    [FailureKind.StoreConflict, TableAnswerKind.Conflict as const],
    [FailureKind.StoreOutcomeUnknown, TableAnswerKind.Unknown as const],
]);

/**
 * Puts the answer to a commit in the procedure's form.
 *
 * @param committed - The group commit's answer
 * @returns `Committed`, `Conflict`, `Unknown` or `Unavailable`
 * @example
 * toCommitAnswer(await commits.commitEntry(entry));
 */
export function convertCommitResult(committed: Result<readonly (number | undefined)[], Failure>): TableAnswer {
    if (committed.isOk()) {
        return { kind: TableAnswerKind.Committed, version: committed.value[0] };
    }
    return { kind: COMMIT_FAILURES.get(committed.error.kind) ?? TableAnswerKind.Unavailable };
}
