/**
 * @module Builds key prefixes of accounts' jobs.
 */

/**
 * Builds the key prefix of an account's job rows.
 *
 * @param accountName - The account
 * @returns The prefix
 * @example
 * table.listRows(buildAccountPrefix("depot"));
 */
export function buildAccountPrefix(accountName: string): string {
    return `jobs/account/${encodeURIComponent(accountName)}/`;
}
