/**
 * @module Chooses the endpoints of a new version that get requests while it is on trial.
 */
import { hashText } from "../../base/hashText";

/** Share of the requests that a trial sends, at most, in endpoints of the old version. */
const CANARY_SHARE = 0.05;

/**
 * Chooses so few endpoints that each gets about as many requests as one of the old version: a fault may show under load
 * only. All nodes choose the same ones, by rendezvous hashing.
 *
 * @param targets - Ids of the endpoints of the new version that can serve requests
 * @param others - Number of endpoints of the old version
 * @returns The chosen ids
 * @example
 * chooseCanaries(["i-1", "i-2"], 13).length; //=> 1
 */
export function chooseCanaries(targets: readonly string[], others: number): readonly string[] {
    const count = Math.max(1, Math.round(CANARY_SHARE * others));
    return [...targets]
        .map(id => ({ id, rank: hashText(`canary|${id}`) }))
        .sort((left, right) => right.rank - left.rank)
        .slice(0, count)
        .map(({ id }) => id);
}
