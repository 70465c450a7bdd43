/**
 * @module Summarizes the admission pools for a dump.
 */
import type { AdmissionPool } from "../../decisions/admission/admissionPool";

/** Most accounts listed per pool, which bounds the size of a dump. */
const MAXIMUM_DUMPED_ACCOUNTS = 20;

/** One account in a dump. */
export interface AccountDump {
    readonly account: string;
    readonly waiting: number;
    readonly waitingTokens: number;
    readonly admitted: number;
    readonly chargedTokens: number;
}

/** One pool in a dump. */
export interface PoolDump {
    readonly waiting: number;
    readonly waitingTokens: number;
    readonly admitted: number;
    readonly meanDurationMs: number | undefined;
    readonly meanCostTokens: number | undefined;
    readonly useShares: Readonly<Record<string, number>>;
    /** The accounts with the most waiting tokens, in descending order. */
    readonly accounts: readonly AccountDump[];
}

/**
 * Summarizes the pools for a dump of bounded size.
 *
 * @param pools - Pools by service name
 * @returns Counts by service name, with the accounts that have the most waiting tokens
 * @example
 * dumpPools(pools)["news"].waiting;
 */
export function dumpPools(pools: ReadonlyMap<string, AdmissionPool>): Readonly<Record<string, PoolDump>> {
    return Object.fromEntries([...pools].map(([serviceName, pool]) => [serviceName, dumpPool(pool)]));
}

function dumpPool(pool: AdmissionPool): PoolDump {
    const accounts = [...pool.accounts.values()].sort((left, right) => right.waitingTokens - left.waitingTokens);
    return {
        waiting: pool.queued.size,
        waitingTokens: pool.waitingTokens,
        admitted: pool.admitted.size,
        meanDurationMs: pool.meanDurationMs,
        meanCostTokens: pool.meanCostTokens,
        useShares: Object.fromEntries(pool.useShares),
        accounts: accounts.slice(0, MAXIMUM_DUMPED_ACCOUNTS).map(account => ({
            account: account.name,
            waiting: account.waitingCount,
            waitingTokens: account.waitingTokens,
            admitted: account.admittedCount,
            chargedTokens: account.chargedTokens,
        })),
    };
}
