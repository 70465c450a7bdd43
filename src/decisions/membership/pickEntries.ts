/**
 * @module Which entries go into the next message.
 */
import { countEntryBytes, type Entry } from "../../nodes/nodeMessages";
import { ENTRIES_MAX_BYTES, EXTRA_TRANSMITS } from "./constants";
import { toEntryId } from "./entries";
import { TOPIC_POLICIES } from "./topicPolicies";

/** An entry that is still to be told on, and how many times. */
export interface PendingEntry {
    readonly entry: Entry;
    readonly sendsLeft: number;
}

/** Entries still to be told on, by entry id. */
export type PendingEntries = ReadonlyMap<string, PendingEntry>;

/**
 * Adds news to what is to be told on. An older entry of the same identity is replaced.
 *
 * @param pending - What is to be told on
 * @param fresh - The news
 * @param nodeCount - Number of nodes; each entry is sent a few times more than its logarithm
 * @returns What is to be told on after that
 * @example
 * queueEntries(pending, change.fresh, 400);
 */
export function queueEntries(pending: PendingEntries, fresh: readonly Entry[], nodeCount: number): PendingEntries {
    if (fresh.length === 0) {
        return pending;
    }
    const sendsLeft = EXTRA_TRANSMITS + Math.ceil(Math.log2(nodeCount + 1));
    const queued = new Map(pending);
    fresh.forEach(entry => queued.set(toEntryId(entry), { entry, sendsLeft }));
    return queued;
}

/**
 * Picks entries for a message: those that the receiver is known to lack, then by topic, then those sent least so far.
 *
 * @param pending - What is to be told on
 * @param owed - Entries that this receiver is known to lack
 * @param budgetBytes - Bytes that the entries may take; never more than the largest message
 * @returns The entries, and what is still to be told on
 * @example
 * pickEntries(pending, [], 800).entries;
 */
export function pickEntries(
    pending: PendingEntries,
    owed: readonly Entry[],
    budgetBytes: number,
): { readonly entries: readonly Entry[]; readonly pending: PendingEntries } {
    const wanted = [...owed.map(entry => ({ entry, sendsLeft: Number.POSITIVE_INFINITY })), ...pending.values()].sort(
        compareUrgency,
    );
    const picked = new Map<string, Entry>();
    const left = new Map(pending);
    let room = Math.min(budgetBytes, ENTRIES_MAX_BYTES);
    for (const { entry } of wanted) {
        const entryId = toEntryId(entry);
        const bytes = countEntryBytes(entry);
        if (bytes <= room && !picked.has(entryId)) {
            room -= bytes;
            picked.set(entryId, entry);
            recordSend(left, entryId);
        }
    }
    return { entries: [...picked.values()], pending: left };
}

function compareUrgency(left: PendingEntry, right: PendingEntry): number {
    const byTopic = TOPIC_POLICIES[left.entry.topic].priority - TOPIC_POLICIES[right.entry.topic].priority;
    return byTopic === 0 && left.sendsLeft !== right.sendsLeft ? right.sendsLeft - left.sendsLeft : byTopic;
}

function recordSend(left: Map<string, PendingEntry>, entryId: string): void {
    const item = left.get(entryId);
    if (item !== undefined && item.sendsLeft > 1) {
        left.set(entryId, { ...item, sendsLeft: item.sendsLeft - 1 });
    } else {
        left.delete(entryId);
    }
}
