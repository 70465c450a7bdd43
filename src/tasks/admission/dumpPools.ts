/**
 * @module What a dump shows of admission.
 */
import type { AdmissionPool } from "../../decisions/admission/admissionPool";

const ACCOUNTS_SHOWN = 20;

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
    /** The accounts with the most tokens waiting. */
    readonly accounts: readonly AccountDump[];
}

/**
 * Summarises the pools for a dump of bounded size.
 *
 * @param pools - Pools by service name
 * @returns Counts by service, with the accounts that have the most waiting
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
        accounts: accounts.slice(0, ACCOUNTS_SHOWN).map(account => ({
            account: account.name,
            waiting: account.waitingCount,
            waitingTokens: account.waitingTokens,
            admitted: account.admittedCount,
            chargedTokens: account.chargedTokens,
        })),
    };
}
