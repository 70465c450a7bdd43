/**
 * @module Admits a share of the requests of an account.
 */
import type { Random } from "../../base/random";

/** What an even share goes by. */
export interface ShareCredit {
    /** What may be admitted, negative after a greater request, and the last request, whose part is still to be added. */
    shareCredit: { readonly credit: number; readonly formerAmount: number } | undefined;
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
    const { formerAmount, credit } = state.shareCredit ?? {
        formerAmount: amount,
        credit: -random.drawFraction() * amount,
    };
    // The former request's part is added and not its own, or large requests would be admitted far more often than small.
    const available = credit + share * formerAmount;
    const isAdmitted = available > 0;
    state.shareCredit = { formerAmount: amount, credit: isAdmitted ? available - amount : available };
    return isAdmitted;
}
