/**
 * @module Limits of configuration items.
 */

/** A request of a class ends within this time, since results are kept for days only. */
export const LONGEST_DEADLINE_MS = 604_800_000;
/** Streams and service calls that take longer to begin are work for jobs with a longer deadline. */
export const LONGEST_LATENCY_TARGET_MS = 3_600_000;
export const LONGEST_TOKEN_GAP_MS = 60_000;
export const HIGHEST_COST_CEILING_MICROS = 1_000_000_000_000;
/** Every bearer key is compared with every hash, so hashes are bounded. */
export const MOST_KEYS_OF_ACCOUNT = 32;
/** Files over this size are refused before they are parsed. */
export const LARGEST_FILE_CHARACTERS = 4_194_304;
