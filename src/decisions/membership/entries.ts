/**
 * @module Identity, order and merging of entries. Merging is commutative, associative and idempotent.
 */
import type { Entry } from "../../nodes/nodeMessages";

/** An entry and the time at which this node received it. */
export interface HeldEntry {
    readonly entry: Entry;
    /** Monotonic milliseconds. */
    readonly receivedAtMs: number;
}

/** All entries that a node holds, by entry id. */
export type Knowledge = ReadonlyMap<string, HeldEntry>;

/**
 * Gives the id of an entry. Newer entries with the same id replace older ones.
 *
 * @param entry - The entry, or its identifying parts
 * @returns The id, made of topic, origin and key
 * @example
 * toEntryId({ topic: "member", origin: "node-1", key: "" });
 */
export function toEntryId(entry: Pick<Entry, "topic" | "origin" | "key">): string {
    return `${entry.topic}|${entry.origin}|${entry.key}`;
}

/**
 * Tells whether an entry replaces another one with the same id: the higher stamp wins and, at equal stamps, the payload
 * that sorts higher, so that all nodes choose the same entry.
 *
 * @param candidate - The entry that may replace the current one
 * @param current - The current entry
 * @returns True if the candidate replaces the current entry
 * @example
 * isNewerEntry(incoming, held);
 */
export function isNewerEntry(candidate: Entry, current: Entry): boolean {
    return candidate.stamp === current.stamp
        ? Buffer.compare(candidate.payload, current.payload) > 0
        : candidate.stamp > current.stamp;
}

/**
 * Merges entries into those that a node holds.
 *
 * @param knowledge - The entries held
 * @param incoming - Entries in any order
 * @param nowMs - Monotonic milliseconds
 * @returns The merged entries, and the incoming entries that were new
 * @example
 * mergeEntries(knowledge, message.entries, nowMs).fresh.length;
 */
export function mergeEntries(
    knowledge: Knowledge,
    incoming: readonly Entry[],
    nowMs: number,
): { readonly knowledge: Knowledge; readonly fresh: readonly Entry[] } {
    const isUnknownOrNewer = (entry: Entry, held: Knowledge) => {
        const current = held.get(toEntryId(entry));
        return current === undefined || isNewerEntry(entry, current.entry);
    };
    if (!incoming.some(entry => isUnknownOrNewer(entry, knowledge))) {
        return { knowledge, fresh: [] };
    }
    const merged = new Map(knowledge);
    const fresh = new Map<string, Entry>();
    for (const entry of incoming) {
        if (isUnknownOrNewer(entry, merged)) {
            merged.set(toEntryId(entry), { entry, receivedAtMs: nowMs });
            fresh.set(toEntryId(entry), entry);
        }
    }
    return { knowledge: merged, fresh: [...fresh.values()] };
}
