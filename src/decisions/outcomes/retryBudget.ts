/**
 * @module The retry budget of one request class at one destination service.
 */

/**
 * A budget of extra attempts. A retry or hedge is charged as a full attempt, a resumption by the fraction of the work
 * that it repeats.
 */
export interface RetryBudget {
    /** Extra attempts that may be made now; can be fractional. */
    readonly available: number;
    /** First attempts so far. */
    readonly firstAttempts: number;
    /** Extra attempts charged so far. */
    readonly extraAttempts: number;
}
