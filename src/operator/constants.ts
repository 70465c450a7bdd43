/**
 * @module Limits of the operators' listener.
 */

/** A whole configuration of the planned size fits. */
export const OPERATOR_BODY_BYTES = 4_194_304;

/** Connections beyond this are refused, so that operators' scripts can't take a node's memory. */
export const OPERATOR_CONNECTIONS = 64;

/** Longest time for the headers of a request to arrive. */
export const OPERATOR_HEADER_MS = 10_000;

/** Longest time for a whole request to arrive. */
export const OPERATOR_ARRIVAL_MS = 60_000;

/** How often Node looks for requests that are overdue. */
export const OPERATOR_CHECK_INTERVAL_MS = 500;

/** Largest block of headers. */
export const OPERATOR_HEADER_BYTES = 16_384;

/** Paths of all queries and commands begin with this. */
export const OPERATOR_PATH_PREFIX = "/operator/v1";

/** Jobs listed when no limit is given. */
export const DEFAULT_JOB_COUNT = 50;

/** Most jobs of one answer. */
export const LARGEST_JOB_COUNT = 500;

/** Longest time that one request waits for a revision to be in force; clients ask again after it. */
export const LONGEST_IN_FORCE_WAIT_MS = 30_000;
