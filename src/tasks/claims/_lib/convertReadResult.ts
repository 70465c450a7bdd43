/**
 * @module Answers to reads in the form that the claim procedure takes.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../../base/failure";
import { type TableAnswer, TableAnswerKind } from "../../../decisions/outcomes/claims/advanceClaim";
import { decodeClaim } from "../../../decisions/outcomes/claims/decodeClaim";
import type { TableRow } from "../../../ports/table";

/**
 * Puts the answer to a read in the procedure's form.
 *
 * @param read - The table's answer
 * @returns `Row`, `Malformed` or `Unavailable`
 * @example
 * toReadAnswer(await table.readRow(key));
 */
export function convertReadResult(read: Result<TableRow | undefined, Failure>): TableAnswer {
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
