/**
 * @module The rows of the fleet in the table.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../../../base/createFailure";
import { type Failure, FailureKind } from "../../../base/failure";
import type { TableRow } from "../../../ports/table";

/** Row of the declared state and what is under way. */
export const STATE_KEY = "fleet/state";

/** Row of the newest plan, for operators. */
export const PLAN_KEY = "fleet/plan";

/** Prefix of the rows of recorded demand, one a service. */
export const DEMAND_PREFIX = "fleet/demand/";

/** Rises when a row's shape changes in a way that older programs would misread. */
const FORMAT = 1;

/**
 * Encodes a row.
 *
 * @param value - A JSON-compatible value
 * @returns The row's text
 * @example
 * encodeFleetRow(state);
 */
export function encodeFleetRow(value: unknown): string {
    return JSON.stringify({ format: FORMAT, value });
}

/**
 * Decodes a row that a node of this program wrote.
 *
 * @param row - The row
 * @returns Its value; failure: `Internal` where it has another format, so that nothing is decided on it
 * @example
 * decodeFleetRow<FleetState>(row);
 */
export function decodeFleetRow<T>(row: TableRow): Result<T, Failure> {
    try {
        const { format, value } = JSON.parse(row.value) as { readonly format: unknown; readonly value: T };
        if (format === FORMAT) {
            return ok(value);
        }
    } catch {
        // Falls through: the row is unreadable.
    }
    return err(createFailure(FailureKind.Internal, `The row ${row.key} has a format that this program can't read.`));
}
