/**
 * @module Constants of the decisions about retries, hedges and streams.
 */

/** Extra attempts allowed per first attempt; what is left to 0.1 covers the starting allowance of a short run. */
export const RETRY_RATIO = 0.08;

/** Most attempts that can be saved up. Bounds the extra load of the first seconds of a brown-out. */
export const MAXIMUM_RETRY_BUDGET = 20;

/** Allowance of a new budget, so that a lone failure after a start can be retried. */
export const INITIAL_RETRY_BUDGET = 5;

/** A hedge leaves this much in the budget for retries after failures. */
export const HEDGE_RESERVE = 3;

/** Attempts of one request, hedges and resumptions included. Announced moves don't count. */
export const MAXIMUM_ATTEMPTS = 6;

/** An attempt that would start later than this before the deadline is not made. */
export const MINIMUM_ATTEMPT_MS = 20;

/** A hedge waits for this many times the estimate of the first token. */
export const HEDGE_DELAY_FACTOR = 2;

/** A hedge never starts earlier than this after its attempt. */
export const MINIMUM_HEDGE_DELAY_MS = 100;

/** A resumption that recomputes little is still charged this share of an attempt. */
export const MINIMUM_RESUME_CHARGE = 0.05;

/** Work of generating one token, in prompt tokens prefilled. Engines prefill in parallel and generate one by one. */
export const PREFILL_TOKENS_PER_GENERATED_TOKEN = 10;

/** Charge of repeating an attempt of which no byte was sent; it costs the endpoints next to nothing. */
export const UNSENT_ATTEMPT_CHARGE = 0.1;
