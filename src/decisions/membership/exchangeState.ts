/**
 * @module The state of the exchange on one node: what to tell whom, and what is learned from messages.
 */
import { type Entry, type ExchangeMessage, encodeExchange } from "../../nodes/nodeMessages";
import { isOutdated } from "./advanceMembership";
import { type AppliedRevisions, encodeApplied, hashRoster, mergeApplied, recordRevision } from "./appliedRevisions";
import { ENTRIES_MINIMUM_BYTES, MESSAGE_BASE_BYTES, REPLACEABLE_PRIORITY, URGENT_RESERVE_BYTES } from "./constants";
import { collectEntries, compareSums, computeDetail, computeDigest } from "./digests";
import { buildMemberEntry, MemberCondition } from "./member";
import { listRoster, type MembershipChange, type MembershipState, receiveEntries } from "./membershipState";
import { type PendingEntries, pickEntries, queueEntries } from "./pickEntries";
import { chargeBudget, refreshBudget, type SendBudget } from "./sendBudget";
import { TOPIC_POLICIES } from "./topicPolicies";

/** What was found to differ from one other node. */
export interface Difference {
    /** A group of entries that differs; its detail goes into the next message to that node. */
    readonly group: number | undefined;
    /** Entries that the node may lack. */
    readonly owed: readonly Entry[];
}

/** The state of the exchange. */
export interface ExchangeState {
    readonly membership: MembershipState;
    readonly pending: PendingEntries;
    readonly budget: SendBudget;
    readonly revisions: AppliedRevisions;
    /** Configuration revision that this node has applied. */
    readonly ownRevision: number;
    /** By node id. */
    readonly differences: ReadonlyMap<string, Difference>;
}

/** The time, on both clocks. */
export interface ExchangeTime {
    /** Monotonic milliseconds. */
    readonly nowMs: number;
    /** Epoch milliseconds. */
    readonly wallMs: number;
}

/** A state and the entries that were news. */
export interface ExchangeChange {
    readonly state: ExchangeState;
    readonly fresh: readonly Entry[];
}

/**
 * Takes a change of membership into the exchange: its news are told on.
 *
 * @param state - The state before
 * @param change - The change
 * @returns The state after
 * @example
 * applyMembershipChange(state, advanceMembership(state.membership, facts));
 */
export function applyMembershipChange(state: ExchangeState, change: MembershipChange): ExchangeState {
    const pending = queueEntries(state.pending, change.fresh, change.state.members.size);
    return { ...state, membership: change.state, pending };
}

/**
 * Builds the next message to a node and charges the budget for it. While the budget is used up the message carries no
 * digest, so that nobody asks for more, and only the most urgent entries.
 *
 * @param state - The state before
 * @param peerId - The receiver
 * @param nowMs - Monotonic milliseconds
 * @returns The state after, and the message's bytes
 * @example
 * buildExchange(state, "node-2", nowMs).body;
 */
export function buildExchange(
    state: ExchangeState,
    peerId: string,
    nowMs: number,
): { readonly state: ExchangeState; readonly body: Uint8Array } {
    const { membership, revisions, ownRevision } = state;
    const budget = refreshBudget(state.budget, nowMs);
    const difference = state.differences.get(peerId);
    const owed = [...listDoubts(membership, peerId), ...(difference?.owed ?? [])];
    const room = Math.max(ENTRIES_MINIMUM_BYTES, budget.bytes - MESSAGE_BASE_BYTES);
    const held = budget.bytes > URGENT_RESERVE_BYTES ? new Map() : filterReplaceable(state.pending);
    const sendable = new Map([...state.pending].filter(([entryId]) => !held.has(entryId)));
    const picked = pickEntries(sendable, owed, room);
    const rosterIds = listRoster(membership).map(member => member.nodeId);
    const isRich = budget.bytes > 0;
    const group = isRich ? difference?.group : undefined;
    const body = encodeExchange({
        fromNodeId: membership.selfId,
        revision: ownRevision,
        digest: isRich ? computeDigest(membership.knowledge) : [],
        detail: group === undefined ? undefined : { group, sums: computeDetail(membership.knowledge, group) },
        rosterHash: hashRoster(rosterIds),
        applied: encodeApplied(revisions, rosterIds, ownRevision),
        entries: picked.entries,
    });
    const differences = new Map(state.differences);
    differences.delete(peerId);
    const charged = chargeBudget(budget, body.length + MESSAGE_BASE_BYTES - DIGEST_AND_BITS_BYTES);
    return { state: { ...state, pending: new Map([...picked.pending, ...held]), budget: charged, differences }, body };
}

function filterReplaceable(pending: PendingEntries): PendingEntries {
    return new Map(
        [...pending].filter(([, { entry }]) => TOPIC_POLICIES[entry.topic].priority >= REPLACEABLE_PRIORITY),
    );
}

/** Part of `MESSAGE_BASE_BYTES` that stands in the body itself; the rest is framing. */
const DIGEST_AND_BITS_BYTES = 150;

/**
 * Takes in a message of another node, and notes what that node may lack.
 *
 * @param state - The state before
 * @param message - The message
 * @param time - The time
 * @returns The state after and what was news
 * @example
 * receiveExchange(state, message, { nowMs, wallMs }).fresh;
 */
export function receiveExchange(state: ExchangeState, message: ExchangeMessage, time: ExchangeTime): ExchangeChange {
    const received = importEntries(state, message.entries, time);
    const rosterIds = listRoster(received.state.membership).map(member => member.nodeId);
    const shown = recordRevision(received.state.revisions, message.fromNodeId, message.revision);
    const isSameRoster = message.rosterHash === hashRoster(rosterIds);
    const revisions = isSameRoster ? mergeApplied(shown, rosterIds, message.revision, message.applied) : shown;
    const differences = new Map(received.state.differences);
    differences.set(message.fromNodeId, findDifference(received.state, message, time.nowMs));
    return { state: { ...received.state, revisions, differences }, fresh: received.fresh };
}

/**
 * Takes in entries that did not come in an exchange.
 *
 * @param state - The state before
 * @param entries - The entries
 * @param time - The time
 * @returns The state after and what was news
 * @example
 * importEntries(state, snapshot, { nowMs, wallMs });
 */
export function importEntries(state: ExchangeState, entries: readonly Entry[], time: ExchangeTime): ExchangeChange {
    const usable = entries.filter(entry => !isOutdated(entry, time.wallMs));
    const change = receiveEntries(state.membership, usable, time.nowMs);
    return { state: applyMembershipChange(state, change), fresh: change.fresh };
}

/**
 * Records the revision that this node has applied.
 *
 * @param state - The state before
 * @param revision - The revision; a lower one than before is ignored
 * @returns The state after
 * @example
 * applyOwnRevision(state, 12).ownRevision; //=> 12
 */
export function applyOwnRevision(state: ExchangeState, revision: number): ExchangeState {
    const ownRevision = Math.max(state.ownRevision, revision);
    const revisions = recordRevision(state.revisions, state.membership.selfId, ownRevision);
    return { ...state, ownRevision, revisions };
}

function findDifference(state: ExchangeState, message: ExchangeMessage, nowMs: number): Difference {
    const { knowledge } = state.membership;
    const groups = compareSums(computeDigest(knowledge), message.digest);
    const group = groups.length === 0 ? undefined : groups[Math.floor(nowMs) % groups.length];
    if (message.detail === undefined) {
        return { group, owed: [] };
    }
    const parts = compareSums(computeDetail(knowledge, message.detail.group), message.detail.sums);
    return { group, owed: collectEntries(knowledge, message.detail.group, parts) };
}

/** Lists the entry that says the receiver is suspected, dead or gone, so that it can refute it at once. */
function listDoubts(membership: MembershipState, peerId: string): readonly Entry[] {
    const peer = membership.members.get(peerId);
    return peer !== undefined && peer.condition !== MemberCondition.Alive ? [buildMemberEntry(peer)] : [];
}
