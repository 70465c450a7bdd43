/**
 * @module The runtime check of the guaranteed fair share (the fair share floor).
 *
 * While an account waits, the tokens charged to it since the check began are at least those charged to any other
 * account in that time, minus twice the largest single cost and minus the corrections made since. This is the fairness
 * bound of start-time fair queueing. An account whose first request can't start because of its own cost ceiling has no
 * such guarantee.
 */
import { assertInvariant, Invariant } from "../../../base/assertInvariant";
import type { AdmissionPool, PoolAccount } from "../admissionPool";
import { FAIR_SHARE_CHECK_DISPATCHES } from "../constants";

/** Checks the bound after a request of `account` was charged. Takes constant time unless it begins a new check. */
export function checkFairShare(pool: AdmissionPool, account: PoolAccount, costTokens: number): void {
    const check = pool.fairShareCheck;
    if (check === undefined || check.account.waitingCount === 0 || check.dispatches >= FAIR_SHARE_CHECK_DISPATCHES) {
        pool.fairShareCheck = createFairShareCheck(pool);
        return;
    }
    check.dispatches++;
    check.largestCostTokens = Math.max(check.largestCostTokens, costTokens);
    const checked = countCharged(pool, check.account);
    const other = countCharged(pool, account);
    const bound = checked + 2 * check.largestCostTokens + check.correctedTokens + 1;
    const detail = `${account.name} was charged ${other} tokens while ${check.account.name} waited, charged ${checked}`;
    assertInvariant(other <= bound, Invariant.FairShareFloor, detail);
}

/** Ends the check of an account that waits because of its own cost ceiling. */
export function endFairShareCheck(pool: AdmissionPool, account: PoolAccount): void {
    if (pool.fairShareCheck?.account === account) {
        pool.fairShareCheck = undefined;
    }
}

function createFairShareCheck(pool: AdmissionPool): AdmissionPool["fairShareCheck"] {
    const account = pool.order.toArray().find(entry => entry.account.waitingCount > 0)?.account;
    return account === undefined
        ? undefined
        : {
              account,
              chargedBefore: new Map([...pool.accounts].map(([name, { chargedTokens }]) => [name, chargedTokens])),
              largestCostTokens: 0,
              correctedTokens: 0,
              dispatches: 0,
          };
}

/** Counts the tokens charged to an account since the check began. */
function countCharged(pool: AdmissionPool, account: PoolAccount): number {
    return account.chargedTokens - (pool.fairShareCheck?.chargedBefore.get(account.name) ?? 0);
}
