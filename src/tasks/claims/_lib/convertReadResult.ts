/**
 * @module Converts read results to the input of the claim procedure.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../../base/failure";
import { type TableAnswer, TableAnswerKind } from "../../../decisions/outcomes/claims/advanceClaim";
import { decodeClaim } from "../../../decisions/outcomes/claims/decodeClaim";
import type { TableRow } from "../../../ports/table";

/**
 * Converts the result of a read to the input of the claim procedure.
 *
 * @param read - Result of reading the claim's row
 * @returns `Row`, `Malformed` or `Unavailable`
 * @example
 * convertReadResult(await table.readRow(key));
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
