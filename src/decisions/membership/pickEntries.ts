/**
 * @module Picks the entries that go into the next message.
 */
import { countEntryBytes, type Entry } from "../../nodes/nodeMessages";
import { MAXIMUM_ENTRIES_BYTES, EXTRA_SENDS } from "./constants";
import { toEntryId } from "./entries";
import { TOPIC_POLICIES } from "./topicPolicies";

/** An entry to send, and the number of times left to send it. */
export interface PendingEntry {
    readonly entry: Entry;
    readonly sendsLeft: number;
}

/** The entries to send, by entry id. */
export type PendingEntries = ReadonlyMap<string, PendingEntry>;

/**
 * Adds new entries to the entries to send. An older entry with the same id is replaced.
 *
 * @param pending - The entries to send
 * @param fresh - The new entries
 * @param nodeCount - Number of nodes; each entry is sent `EXTRA_SENDS` times more than its binary logarithm
 * @returns The updated entries to send
 * @example
 * queueEntries(pending, change.fresh, 400);
 */
export function queueEntries(pending: PendingEntries, fresh: readonly Entry[], nodeCount: number): PendingEntries {
    if (fresh.length === 0) {
        return pending;
    }
    const sendsLeft = EXTRA_SENDS + Math.ceil(Math.log2(nodeCount + 1));
    const queued = new Map(pending);
    fresh.forEach(entry => queued.set(toEntryId(entry), { entry, sendsLeft }));
    return queued;
}

/**
 * Picks entries for a message by priority of their topic. Within a topic, the entries that the receiver may lack come
 * first, then those sent the fewest times so far.
 *
 * @param pending - The entries to send
 * @param owed - Entries that this receiver may lack
 * @param budgetBytes - Bytes that the entries may take, at most `MAXIMUM_ENTRIES_BYTES`
 * @returns The entries for the message, and the entries left to send
 * @example
 * pickEntries(pending, [], 800).entries;
 */
export function pickEntries(
    pending: PendingEntries,
    owed: readonly Entry[],
    budgetBytes: number,
): { readonly entries: readonly Entry[]; readonly pending: PendingEntries } {
    const candidates = [
        ...owed.map(entry => ({ entry, sendsLeft: Number.POSITIVE_INFINITY })),
        ...pending.values(),
    ].sort(compareUrgency);
    const picked = new Map<string, Entry>();
    const remaining = new Map(pending);
    let roomBytes = Math.min(budgetBytes, MAXIMUM_ENTRIES_BYTES);
    for (const { entry } of candidates) {
        const entryId = toEntryId(entry);
        const bytes = countEntryBytes(entry);
        if (bytes <= roomBytes && !picked.has(entryId)) {
            roomBytes -= bytes;
            picked.set(entryId, entry);
            recordSend(remaining, entryId);
        }
    }
    return { entries: [...picked.values()], pending: remaining };
}

function compareUrgency(left: PendingEntry, right: PendingEntry): number {
    const byTopic = TOPIC_POLICIES[left.entry.topic].priority - TOPIC_POLICIES[right.entry.topic].priority;
    return byTopic === 0 && left.sendsLeft !== right.sendsLeft ? right.sendsLeft - left.sendsLeft : byTopic;
}

function recordSend(remaining: Map<string, PendingEntry>, entryId: string): void {
    const item = remaining.get(entryId);
    if (item !== undefined && item.sendsLeft > 1) {
        remaining.set(entryId, { ...item, sendsLeft: item.sendsLeft - 1 });
    } else {
        remaining.delete(entryId);
    }
}
