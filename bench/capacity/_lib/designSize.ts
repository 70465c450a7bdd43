/**
 * @module The size to design for, and the bounds on what a node and the store may spend.
 */

/** As the operators plan it for the next two years. */
export const DESIGN = {
    nodes: 400,
    runners: 3_200,
    requestsPerSecond: 6_400,
    tokensPerSecond: 1_800_000,
    regions: 5,
    failureDomains: 15,
    changesPerDay: 4_900,
    failuresPerDay: 56,
    replacementsPerDay: 460,
    tokenGapMs: 28,
    firstTokenMs: 1_200,
} as const;

/** Not given by the operators; taken to show sums, and replaced by one's own numbers with the slopes. */
export const ASSUMED = {
    services: 10,
    accounts: 1_000,
    machineClasses: 4,
    /** Share of requests that claim an idempotency key. */
    claimShare: 0.02,
    /** Open jobs in the table. */
    openJobs: 1_000,
} as const;

/** Control of one node. */
export const NODE_BOUNDS = { corePercent: 4.5, mebibytes: 256, bytesPerSecond: 5_000 } as const;

/** Of the platform's table; "several hundred" writes are taken as 300. */
export const STORE_BOUNDS = { writesPerSecond: 300, readsPerSecond: 2_000 } as const;

export const SECONDS_PER_DAY = 86_400;
