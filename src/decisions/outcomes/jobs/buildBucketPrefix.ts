/**
 * @module Prefixes of what cleaning works through.
 */
import { CLEANUP_BUCKET_MS } from "./constants";

const BUCKET_DIGITS = 8;

/**
 * Builds the prefix of ended jobs and bodies of a time.
 *
 * @param prefix - `ENDED_PREFIX` or `BODY_PREFIX`
 * @param wallMs - Epoch milliseconds
 * @returns A prefix that sorts by time
 * @example
 * buildBucketPrefix(ENDED_PREFIX, nowWallMs);
 */
export function buildBucketPrefix(prefix: string, wallMs: number): string {
    return `${prefix}${String(Math.floor(wallMs / CLEANUP_BUCKET_MS)).padStart(BUCKET_DIGITS, "0")}/`;
}
