/**
 * @module The fair floor, checked while the program runs.
 *
 * The floor: while an account waits, the tokens charged to it since the watch began are at least those charged to any
 * other account in that time, less twice the largest single cost and the corrections made since. This is the bound of
 * start-time fair queueing. An account whose first request is held back by its own cost ceiling is owed nothing.
 */
import { assertInvariant, Invariant } from "../../../base/assertInvariant";
import type { AdmissionPool, PoolAccount } from "../admissionPool";
import { FLOOR_WATCH_DISPATCHES } from "../constants";

/** Checks the floor after a request of `account` was charged. Takes constant time but for a new watch. */
export function checkFloor(pool: AdmissionPool, account: PoolAccount, costTokens: number): void {
    const watch = pool.floorWatch;
    if (watch === undefined || watch.account.waitingCount === 0 || watch.dispatches >= FLOOR_WATCH_DISPATCHES) {
        pool.floorWatch = createWatch(pool);
        return;
    }
    watch.dispatches++;
    watch.largestCostTokens = Math.max(watch.largestCostTokens, costTokens);
    const watched = countCharged(pool, watch.account);
    const other = countCharged(pool, account);
    const bound = watched + 2 * watch.largestCostTokens + watch.correctedTokens + 1;
    const detail = `${account.name} got ${other} tokens while ${watch.account.name} waited and got ${watched}`;
    assertInvariant(other <= bound, Invariant.FairShareFloor, detail);
}

/** Ends the watch of an account that waits for a reason of its own. */
export function endWatch(pool: AdmissionPool, account: PoolAccount): void {
    if (pool.floorWatch?.account === account) {
        pool.floorWatch = undefined;
    }
}

function createWatch(pool: AdmissionPool): AdmissionPool["floorWatch"] {
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

function countCharged(pool: AdmissionPool, account: PoolAccount): number {
    return account.chargedTokens - (pool.floorWatch?.chargedBefore.get(account.name) ?? 0);
}
