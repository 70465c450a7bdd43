/**
 * @module Builds the conditional write of a claim record.
 */
import type { ClaimRecord } from "../../../decisions/outcomes/claims/claimRecord";
import { encodeClaim } from "../../../decisions/outcomes/claims/encodeClaim";
import type { CommitEntry } from "../commitClient";

/**
 * Builds an entry that writes a claim record only if its row is at the expected version.
 *
 * @param key - Key of the row
 * @param record - Claim record to write
 * @param version - Version that the row must have; `undefined` if the row must not exist
 * @returns The entry for the group commit
 * @example
 * commits.commitEntry(buildClaimEntry(key, record, version));
 */
export function buildClaimEntry(key: string, record: ClaimRecord, version: number | undefined): CommitEntry {
    return { conditions: [{ key, version }], writes: [{ key, value: encodeClaim(record) }] };
}
