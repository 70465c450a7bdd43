/**
 * @module The conditional write of a claim.
 */
import type { ClaimRecord } from "../../../decisions/outcomes/claims/claimRecord";
import { encodeClaim } from "../../../decisions/outcomes/claims/encodeClaim";
import type { CommitEntry } from "../commitClient";

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
