/**
 * @module The gossip exchange of one node: builds messages for other nodes and merges those received.
 */
import { type Entry, type ExchangeMessage, encodeExchange } from "../../nodes/nodeMessages";
import { isOutdatedEntry } from "./advanceMembership";
import { type AppliedRevisions, encodeApplied, hashRoster, mergeApplied, recordRevision } from "./appliedRevisions";
import { MINIMUM_ENTRIES_BYTES, MESSAGE_BASE_BYTES, REPLACEABLE_PRIORITY, URGENT_RESERVE_BYTES } from "./constants";
import { collectEntries, compareSums, computeDetail, computeDigest } from "./digests";
import { buildMemberEntry, MemberCondition } from "./member";
import { listRoster, type MembershipChange, type MembershipState, receiveEntries } from "./membershipState";
import { type PendingEntries, pickEntries, queueEntries } from "./pickEntries";
import { chargeBudget, refreshBudget, type SendBudget } from "./sendBudget";
import { TOPIC_POLICIES } from "./topicPolicies";

/** Differences found between this node's entries and those of one other node. */
export interface PeerDifference {
    /** A digest group that differs; its detail goes into the next message to the node. */
    readonly group: number | undefined;
    /** Entries that the other node may lack. */
    readonly owed: readonly Entry[];
}

/** The state of the exchange. */
export interface ExchangeState {
    readonly membership: MembershipState;
    /** Entries to send to other nodes. */
    readonly pending: PendingEntries;
    readonly budget: SendBudget;
    readonly revisions: AppliedRevisions;
    /** The newest configuration revision that this node has applied. */
    readonly ownRevision: number;
    /** Differences by node id, kept until the next message to the node. */
    readonly differences: ReadonlyMap<string, PeerDifference>;
}

/** The time on both clocks. */
export interface ExchangeTime {
    /** Monotonic milliseconds. */
    readonly nowMs: number;
    /** Epoch milliseconds. */
    readonly wallMs: number;
}

/** A new state, and the received entries that were new. */
export interface ExchangeChange {
    readonly state: ExchangeState;
    readonly fresh: readonly Entry[];
}

/**
 * Applies a change of membership to the exchange and queues its new entries for other nodes.
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
 * Builds the next message to a node and charges the send budget for it. While the budget is used up, the message
 * carries only the most urgent entries and no digest, so that it doesn't cause further messages.
 *
 * @param state - The state before
 * @param peerId - Id of the receiver
 * @param nowMs - Monotonic milliseconds
 * @returns The state after and the encoded message
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
    const owed = [...listEntriesToRefute(membership, peerId), ...(difference?.owed ?? [])];
    const roomBytes = Math.max(MINIMUM_ENTRIES_BYTES, budget.bytes - MESSAGE_BASE_BYTES);
    const deferred = budget.bytes > URGENT_RESERVE_BYTES ? new Map() : filterReplaceableEntries(state.pending);
    const sendable = new Map([...state.pending].filter(([entryId]) => !deferred.has(entryId)));
    const picked = pickEntries(sendable, owed, roomBytes);
    const rosterIds = listRoster(membership).map(member => member.nodeId);
    const hasBudget = budget.bytes > 0;
    const group = hasBudget ? difference?.group : undefined;
    const body = encodeExchange({
        fromNodeId: membership.selfId,
        revision: ownRevision,
        digest: hasBudget ? computeDigest(membership.knowledge) : [],
        detail: group === undefined ? undefined : { group, sums: computeDetail(membership.knowledge, group) },
        rosterHash: hashRoster(rosterIds),
        applied: encodeApplied(revisions, rosterIds, ownRevision),
        entries: picked.entries,
    });
    const differences = new Map(state.differences);
    differences.delete(peerId);
    const charged = chargeBudget(budget, body.length + MESSAGE_BASE_BYTES - DIGEST_AND_BITMAP_BYTES);
    return {
        state: { ...state, pending: new Map([...picked.pending, ...deferred]), budget: charged, differences },
        body,
    };
}

function filterReplaceableEntries(pending: PendingEntries): PendingEntries {
    return new Map(
        [...pending].filter(([, { entry }]) => TOPIC_POLICIES[entry.topic].priority >= REPLACEABLE_PRIORITY),
    );
}

/** Part of `MESSAGE_BASE_BYTES` that is included in the body; the rest is framing. */
const DIGEST_AND_BITMAP_BYTES = 150;

/**
 * Merges a message of another node, and records the entries that the node may lack.
 *
 * @param state - The state before
 * @param message - The message
 * @param time - The time on both clocks
 * @returns The state after and the entries that were new
 * @example
 * receiveExchange(state, message, { nowMs, wallMs }).fresh;
 */
export function receiveExchange(state: ExchangeState, message: ExchangeMessage, time: ExchangeTime): ExchangeChange {
    const received = importEntries(state, message.entries, time);
    const rosterIds = listRoster(received.state.membership).map(member => member.nodeId);
    const senderRecorded = recordRevision(received.state.revisions, message.fromNodeId, message.revision);
    const isSameRoster = message.rosterHash === hashRoster(rosterIds);
    const revisions = isSameRoster
        ? mergeApplied(senderRecorded, rosterIds, message.revision, message.applied)
        : senderRecorded;
    const differences = new Map(received.state.differences);
    differences.set(message.fromNodeId, findDifference(received.state, message, time.nowMs));
    return { state: { ...received.state, revisions, differences }, fresh: received.fresh };
}

/**
 * Merges entries that arrived outside an exchange, such as in a snapshot.
 *
 * @param state - The state before
 * @param entries - The entries; outdated ones are ignored
 * @param time - The time on both clocks
 * @returns The state after and the entries that were new
 * @example
 * importEntries(state, snapshot, { nowMs, wallMs });
 */
export function importEntries(state: ExchangeState, entries: readonly Entry[], time: ExchangeTime): ExchangeChange {
    const current = entries.filter(entry => !isOutdatedEntry(entry, time.wallMs));
    const change = receiveEntries(state.membership, current, time.nowMs);
    return { state: applyMembershipChange(state, change), fresh: change.fresh };
}

/**
 * Records a configuration revision that this node has applied.
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

function findDifference(state: ExchangeState, message: ExchangeMessage, nowMs: number): PeerDifference {
    const { knowledge } = state.membership;
    const groups = compareSums(computeDigest(knowledge), message.digest);
    const group = groups.length === 0 ? undefined : groups[Math.floor(nowMs) % groups.length];
    if (message.detail === undefined) {
        return { group, owed: [] };
    }
    const parts = compareSums(computeDetail(knowledge, message.detail.group), message.detail.sums);
    return { group, owed: collectEntries(knowledge, message.detail.group, parts) };
}

/** Gives the receiver the entry that says it is suspected, dead or departed, so that it can refute it immediately. */
function listEntriesToRefute(membership: MembershipState, peerId: string): readonly Entry[] {
    const peer = membership.members.get(peerId);
    return peer !== undefined && peer.condition !== MemberCondition.Alive ? [buildMemberEntry(peer)] : [];
}
