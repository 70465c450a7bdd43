/**
 * @module Ids of jobs.
 */
import { MAXIMUM_JOB_ID_MS } from "./constants";

const HEX = 16;
const ID_TIME_DIGITS = 12;

/**
 * Builds a job's id. Ids sort newest first, so that a listing needs no sorting and no further index.
 *
 * @param acceptedAtWallMs - Epoch milliseconds
 * @param randomText - Tells jobs of one millisecond apart
 * @returns The id
 * @example
 * buildJobId(clock.readWallMs(), ulid().slice(10));
 */
export function buildJobId(acceptedAtWallMs: number, randomText: string): string {
    const inverted = MAXIMUM_JOB_ID_MS - Math.floor(acceptedAtWallMs);
    return `${inverted.toString(HEX).padStart(ID_TIME_DIGITS, "0")}-${randomText.toLowerCase()}`;
}
