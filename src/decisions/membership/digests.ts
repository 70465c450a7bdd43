/**
 * @module Digests: how two nodes find out in few bytes which entries one of them lacks.
 *
 * Entries fall into groups by the hash of their identity, and each group into parts. A sum over the hashes of the
 * entries in a group differs when the entries do.
 */
import { hashText } from "../../base/hashText";
import type { Entry } from "../../nodes/nodeMessages";
import { DIGEST_GROUPS } from "./constants";
import { type HeldEntry, type Knowledge, toEntryId } from "./entries";
import { MemberCondition } from "./member";
import { TOPIC_POLICIES } from "./topicPolicies";

const MEMBER_CONDITIONS = 4;
const places = new WeakMap<Entry, EntryPlace>();

interface EntryPlace {
    readonly group: number;
    readonly part: number;
    readonly sum: number;
}

/**
 * Computes the sums of all groups.
 *
 * @param knowledge - What the node knows
 * @returns One unsigned 32-bit number a group
 * @example
 * computeDigest(knowledge).length; //=> 16
 */
export function computeDigest(knowledge: Knowledge): readonly number[] {
    return sumPlaces(knowledge, place => place.group);
}

/**
 * Computes the sums of the parts of one group.
 *
 * @param knowledge - What the node knows
 * @param group - The group
 * @returns One unsigned 32-bit number a part
 * @example
 * computeDetail(knowledge, 3);
 */
export function computeDetail(knowledge: Knowledge, group: number): readonly number[] {
    return sumPlaces(knowledge, place => (place.group === group ? place.part : undefined));
}

/**
 * Lists the positions at which two lists of sums differ.
 *
 * @param left - One list
 * @param right - The other; an empty one differs nowhere
 * @returns Positions in rising order
 * @example
 * compareSums([1, 2, 3], [1, 5, 3]); //=> [1]
 */
export function compareSums(left: readonly number[], right: readonly number[]): readonly number[] {
    return right.length === 0 ? [] : left.flatMap((sum, index) => (sum === right[index] ? [] : [index]));
}

/**
 * Lists the entries in the parts of a group where another node's sums differ: what it may lack. Members known to be dead
 * or gone are among them, although sums leave them out.
 *
 * @param knowledge - What this node knows
 * @param group - The group
 * @param parts - Parts that differ
 * @returns The entries
 * @example
 * collectEntries(knowledge, 3, compareSums(computeDetail(knowledge, 3), detail.sums));
 */
export function collectEntries(knowledge: Knowledge, group: number, parts: readonly number[]): readonly Entry[] {
    return [...knowledge.values()]
        .map(held => held.entry)
        .filter(entry => TOPIC_POLICIES[entry.topic].isDigested)
        .filter(entry => findPlace(entry).group === group && parts.includes(findPlace(entry).part));
}

function sumPlaces(knowledge: Knowledge, choose: (place: EntryPlace) => number | undefined): readonly number[] {
    const sums = new Uint32Array(DIGEST_GROUPS);
    for (const held of knowledge.values()) {
        const index = isSummed(held) ? choose(findPlace(held.entry)) : undefined;
        if (index !== undefined) {
            sums[index] = (sums[index] ?? 0) ^ findPlace(held.entry).sum;
        }
    }
    return [...sums];
}

function isSummed({ entry }: HeldEntry): boolean {
    const isGone = entry.topic === "member" && entry.stamp % MEMBER_CONDITIONS >= Number(MemberCondition.Dead);
    return TOPIC_POLICIES[entry.topic].isDigested && !isGone;
}

function findPlace(entry: Entry): EntryPlace {
    const known = places.get(entry);
    if (known !== undefined) {
        return known;
    }
    const entryId = toEntryId(entry);
    const hash = hashText(entryId);
    const place = {
        group: hash % DIGEST_GROUPS,
        part: Math.floor(hash / DIGEST_GROUPS) % DIGEST_GROUPS,
        sum: hashText(`${entryId}|${entry.stamp}|${Buffer.from(entry.payload).toString("latin1")}`, 1),
    };
    places.set(entry, place);
    return place;
}
