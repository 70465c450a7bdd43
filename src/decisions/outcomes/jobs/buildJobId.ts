/**
 * @module Builds job ids.
 */
import { MAXIMUM_JOB_ID_MS } from "./constants";

const HEX = 16;
const ID_TIME_DIGITS = 12;

/**
 * Builds a job id. Ids sort newest first, so that jobs can be listed in that order without sorting or an extra index.
 *
 * @param acceptedAtWallMs - Epoch milliseconds
 * @param randomText - Random text that distinguishes jobs accepted in the same millisecond
 * @returns The id
 * @example
 * buildJobId(clock.readWallMs(), ulid().slice(10));
 */
export function buildJobId(acceptedAtWallMs: number, randomText: string): string {
    const inverted = MAXIMUM_JOB_ID_MS - Math.floor(acceptedAtWallMs);
    return `${inverted.toString(HEX).padStart(ID_TIME_DIGITS, "0")}-${randomText.toLowerCase()}`;
}
