/**
 * @module Entries: identity, order and merging. Merging is commutative, associative and idempotent.
 */
import type { Entry } from "../../nodes/nodeMessages";

/** An entry and when this node received it. */
export interface HeldEntry {
    readonly entry: Entry;
    /** Monotonic milliseconds. */
    readonly receivedAtMs: number;
}

/** All that a node knows, by entry id. */
export type Knowledge = ReadonlyMap<string, HeldEntry>;

/**
 * Gives the identity of an entry: newer entries of the same identity replace older ones.
 *
 * @param entry - The entry, or its identifying parts
 * @returns A text that is equal for equal topic, origin and key
 * @example
 * toEntryId({ topic: "member", origin: "node-1", key: "" });
 */
export function toEntryId(entry: Pick<Entry, "topic" | "origin" | "key">): string {
    return `${entry.topic}|${entry.origin}|${entry.key}`;
}

/**
 * Tells which of two entries of the same identity holds: the one with the higher stamp or, at equal stamps, the one
 * whose payload sorts higher, so that all nodes choose the same.
 *
 * @param candidate - The entry that may replace
 * @param current - The entry that may be replaced
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
 * Merges entries into what is known.
 *
 * @param knowledge - What is known
 * @param incoming - Entries in any order
 * @param nowMs - Monotonic milliseconds
 * @returns What is known after that, and which of the entries were news
 * @example
 * mergeEntries(knowledge, message.entries, nowMs).fresh.length;
 */
export function mergeEntries(
    knowledge: Knowledge,
    incoming: readonly Entry[],
    nowMs: number,
): { readonly knowledge: Knowledge; readonly fresh: readonly Entry[] } {
    const isNews = (entry: Entry, known: Knowledge) => {
        const current = known.get(toEntryId(entry));
        return current === undefined || isNewerEntry(entry, current.entry);
    };
    if (!incoming.some(entry => isNews(entry, knowledge))) {
        return { knowledge, fresh: [] };
    }
    const merged = new Map(knowledge);
    const fresh = new Map<string, Entry>();
    for (const entry of incoming) {
        if (isNews(entry, merged)) {
            merged.set(toEntryId(entry), { entry, receivedAtMs: nowMs });
            fresh.set(toEntryId(entry), entry);
        }
    }
    return { knowledge: merged, fresh: [...fresh.values()] };
}
