/**
 * @module Digests, with which two nodes find out in few bytes which entries one of them lacks.
 *
 * Entries are divided into groups by the hash of their id, and each group into parts. The checksum of a group or part
 * is the XOR of the hashes of its entries, so it differs if the entries differ, except for hash collisions.
 */
import { hashText } from "../../base/hashText";
import type { Entry } from "../../nodes/nodeMessages";
import { DIGEST_GROUPS } from "./constants";
import { type HeldEntry, type Knowledge, toEntryId } from "./entries";
import { MemberCondition } from "./member";
import { TOPIC_POLICIES } from "./topicPolicies";

const CONDITION_COUNT = 4;
/** Caches the hashes of entries. */
const locations = new WeakMap<Entry, EntryLocation>();

interface EntryLocation {
    readonly group: number;
    /** Part of the group. */
    readonly part: number;
    /** Hash of the entry's id, stamp and payload. */
    readonly sum: number;
}

/**
 * Computes the checksums of all groups.
 *
 * @param knowledge - The entries that the node holds
 * @returns One unsigned 32-bit number per group
 * @example
 * computeDigest(knowledge).length; //=> 16
 */
export function computeDigest(knowledge: Knowledge): readonly number[] {
    return computeChecksums(knowledge, location => location.group);
}

/**
 * Computes the checksums of the parts of one group.
 *
 * @param knowledge - The entries that the node holds
 * @param group - Index of the group
 * @returns One unsigned 32-bit number per part
 * @example
 * computeDetail(knowledge, 3);
 */
export function computeDetail(knowledge: Knowledge, group: number): readonly number[] {
    return computeChecksums(knowledge, location => (location.group === group ? location.part : undefined));
}

/**
 * Lists the indexes at which two lists of checksums differ.
 *
 * @param left - One list
 * @param right - The other list; an empty one has no differences
 * @returns Indexes in ascending order
 * @example
 * compareSums([1, 2, 3], [1, 5, 3]); //=> [1]
 */
export function compareSums(left: readonly number[], right: readonly number[]): readonly number[] {
    return right.length === 0 ? [] : left.flatMap((sum, index) => (sum === right[index] ? [] : [index]));
}

/**
 * Lists the entries that another node may lack: those in the parts of a group whose checksums differ. They include dead
 * and departed members, which the checksums leave out.
 *
 * @param knowledge - The entries that this node holds
 * @param group - Index of the group
 * @param parts - Indexes of the parts that differ
 * @returns The entries
 * @example
 * collectEntries(knowledge, 3, compareSums(computeDetail(knowledge, 3), detail.sums));
 */
export function collectEntries(knowledge: Knowledge, group: number, parts: readonly number[]): readonly Entry[] {
    return [...knowledge.values()]
        .map(held => held.entry)
        .filter(entry => TOPIC_POLICIES[entry.topic].isDigested)
        .filter(entry => findLocation(entry).group === group && parts.includes(findLocation(entry).part));
}

function computeChecksums(
    knowledge: Knowledge,
    findIndex: (location: EntryLocation) => number | undefined,
): readonly number[] {
    const sums = new Uint32Array(DIGEST_GROUPS);
    for (const held of knowledge.values()) {
        const index = isIncluded(held) ? findIndex(findLocation(held.entry)) : undefined;
        if (index !== undefined) {
            sums[index] = (sums[index] ?? 0) ^ findLocation(held.entry).sum;
        }
    }
    return [...sums];
}

function isIncluded({ entry }: HeldEntry): boolean {
    const isDeadOrDeparted = entry.topic === "member" && entry.stamp % CONDITION_COUNT >= Number(MemberCondition.Dead);
    return TOPIC_POLICIES[entry.topic].isDigested && !isDeadOrDeparted;
}

function findLocation(entry: Entry): EntryLocation {
    const known = locations.get(entry);
    if (known !== undefined) {
        return known;
    }
    const entryId = toEntryId(entry);
    const hash = hashText(entryId);
    const location = {
        group: hash % DIGEST_GROUPS,
        part: Math.floor(hash / DIGEST_GROUPS) % DIGEST_GROUPS,
        sum: hashText(`${entryId}|${entry.stamp}|${Buffer.from(entry.payload).toString("latin1")}`, 1),
    };
    locations.set(entry, location);
    return location;
}
