/**
 * @module Admits a share of the requests of an account.
 */
import type { Random } from "../../base/random";

/** What may be admitted of an admitted share; negative after a request that was greater. */
export interface ShareCredit {
    credit: number | undefined;
}

/**
 * Admits a share of what is asked for, evenly: each request adds its part of the share to a credit, and a request that
 * finds credit is admitted, whatever its size. Chance alone would vary by several hundredths of a quota in a window.
 *
 * @param state - The credit, which it changes
 * @param amount - Size of the request
 * @param share - Share to admit; all from 1 on
 * @param random - Decides at which request a node begins
 * @returns True if the request is admitted
 * @example
 * admitShare(state, 1_460, 0.4, random);
 */
export function admitShare(state: ShareCredit, amount: number, share: number, random: Random): boolean {
    if (!(share < 1)) {
        return true;
    }
    const before = state.credit ?? -random.drawFraction() * amount;
    state.credit = Math.min(amount, before + share * amount);
    if (state.credit <= 0) {
        return false;
    }
    state.credit -= amount;
    return true;
}
