/**
 * @module Builds key prefixes of the time buckets that the cleanup works through.
 */
import { CLEANUP_BUCKET_MS } from "./constants";

const BUCKET_DIGITS = 8;

/**
 * Builds the key prefix of the time bucket of ended jobs or job bodies that contains a time.
 *
 * @param prefix - `ENDED_JOB_PREFIX` or `JOB_BODY_PREFIX`
 * @param wallMs - Epoch milliseconds
 * @returns A prefix that sorts by time
 * @example
 * buildBucketPrefix(ENDED_JOB_PREFIX, nowWallMs);
 */
export function buildBucketPrefix(prefix: string, wallMs: number): string {
    return `${prefix}${String(Math.floor(wallMs / CLEANUP_BUCKET_MS)).padStart(BUCKET_DIGITS, "0")}/`;
}
