/**
 * @module The budget of extra attempts of one class at one destination service.
 */

/** How many extra attempts may be made now. Attempts are charged whole or, for resumptions, by their share of work. */
export interface RetryBudget {
    readonly available: number;
    /** First attempts so far. */
    readonly firstAttempts: number;
    /** Extra attempts charged so far. */
    readonly extraAttempts: number;
}
