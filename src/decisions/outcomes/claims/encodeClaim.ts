/**
 * @module Encodes claims for table rows.
 */
import type { ClaimRecord } from "./claimRecord";

/**
 * Encodes a claim.
 *
 * @param record - The claim
 * @returns JSON text
 * @example
 * table.commitTransaction({ ..., writes: [{ key, value: encodeClaim(record) }] });
 */
export function encodeClaim(record: ClaimRecord): string {
    return JSON.stringify(record);
}
