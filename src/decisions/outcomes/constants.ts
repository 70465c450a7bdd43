/**
 * @module Limits and budgets of retries, hedges and resumed streams.
 */

/**
 * Extra attempts allowed per first attempt. Below the 10% limit on extra attempts, so that the initial budget also fits
 * within that limit over a short period.
 */
export const RETRY_RATIO = 0.08;

/** Largest number of unused extra attempts that a budget keeps. Limits the extra load when a service starts to fail. */
export const MAXIMUM_RETRY_BUDGET = 20;

/** Extra attempts in a new budget, so that an isolated failure soon after a start can be retried. */
export const INITIAL_RETRY_BUDGET = 5;

/** Extra attempts that a hedge must leave in the budget for retries after failures. */
export const HEDGE_RESERVE = 3;

/**
 * Maximum attempts of one request, including hedges and resumptions. Moves of a stream away from a VM whose reclaim was
 * announced do not count.
 */
export const MAXIMUM_ATTEMPTS = 6;

/** Shortest time to the deadline, in milliseconds, that is worth another attempt. */
export const MINIMUM_ATTEMPT_MS = 20;

/** Multiple of the estimated time to first token after which a hedge is sent. */
export const HEDGE_DELAY_FACTOR = 2;

/** Shortest delay between an attempt and its hedge, in milliseconds. */
export const MINIMUM_HEDGE_DELAY_MS = 100;

/** Smallest charge for a resumption, as a fraction of an attempt. */
export const MINIMUM_RESUME_CHARGE = 0.05;

/**
 * Cost of generating one token, expressed in prefilled prompt tokens. Engines prefill tokens in parallel but generate
 * them one by one.
 */
export const PREFILL_TOKENS_PER_GENERATED_TOKEN = 10;

/** Charge for repeating an attempt of which no byte was sent, which costs the endpoints almost nothing. */
export const UNSENT_ATTEMPT_CHARGE = 0.1;
