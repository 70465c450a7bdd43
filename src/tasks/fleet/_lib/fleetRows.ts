/**
 * @module The table rows of the fleet, and their encoding.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../../../base/createFailure";
import { type Failure, FailureKind } from "../../../base/failure";
import type { TableRow } from "../../../ports/table";

/** Key of the row with the declared groups and the operations in progress. */
export const STATE_KEY = "fleet/state";

/** Key of the row with the newest plan, which operators can read. */
export const PLAN_KEY = "fleet/plan";

/** Key prefix of the rows with the demand history, one per service. */
export const DEMAND_PREFIX = "fleet/demand/";

/** Version of the row format; incremented on a change that older releases would misread. */
const FORMAT_VERSION = 1;

/**
 * Encodes a row.
 *
 * @param value - A JSON-compatible value
 * @returns The encoded value of the row
 * @example
 * encodeFleetRow(state);
 */
export function encodeFleetRow(value: unknown): string {
    return JSON.stringify({ format: FORMAT_VERSION, value });
}

/**
 * Decodes a row that `encodeFleetRow` encoded.
 *
 * @param row - The row
 * @returns Its value; failure: `Internal` if it is malformed or has another format version
 * @example
 * decodeFleetRow<FleetState>(row);
 */
export function decodeFleetRow<T>(row: TableRow): Result<T, Failure> {
    try {
        const { format, value } = JSON.parse(row.value) as { readonly format: unknown; readonly value: T };
        if (format === FORMAT_VERSION) {
            return ok(value);
        }
    } catch {
        // Malformed JSON: reported below.
    }
    return err(
        createFailure(FailureKind.Internal, `The row ${row.key} is malformed or has an unsupported format version.`),
    );
}
