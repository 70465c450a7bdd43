/**
 * @module Chooses the relays of a failure domain: the nodes through which its nodes exchange news with all others.
 */
import { hashText } from "../../base/hashText";

/** A node that may become a relay. */
export interface RelayCandidate {
    readonly node: string;
    /** Relative strength of its machine; a stronger one becomes a relay in more failure domains. */
    readonly capacity: number;
}

/** A failure domain with fewer members has one relay; a larger one has a second relay that is ready to take over. */
const SECOND_RELAY_FROM_MEMBERS = 5;
const HASH_RANGE = 2 ** 32;

/**
 * Counts the relays that a failure domain needs.
 *
 * @param members - Number of its live nodes
 * @returns One or two
 * @example
 * countRelays(30); //=> 2
 */
export function countRelays(members: number): number {
    return members < SECOND_RELAY_FROM_MEMBERS ? 1 : 2;
}

/**
 * Chooses relays by weighted rendezvous hashing, so that all nodes with the same members choose the same ones, and
 * a change of one member changes the choice only if it is or becomes a relay.
 *
 * @param members - The live nodes
 * @param count - Number of relays
 * @returns So many of them, or all if there are fewer; the first choice first
 * @example
 * const [primary, secondary] = chooseRelays(members, countRelays(members.length));
 */
export function chooseRelays<T extends RelayCandidate>(members: readonly T[], count: number): readonly T[] {
    return [...members]
        .map(member => ({ member, score: computeScore(member) }))
        .sort((left, right) => right.score - left.score)
        .slice(0, count)
        .map(({ member }) => member);
}

/** Computes the score of a candidate. The highest score is a node's with a probability proportional to its capacity. */
function computeScore({ node, capacity }: RelayCandidate): number {
    const fraction = (hashText(node) + 0.5) / HASH_RANGE;
    return capacity / -Math.log(fraction);
}
