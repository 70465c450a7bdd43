/**
 * @module The membership state of one node and its transitions.
 */
import type { Entry, MemberInfo } from "../../nodes/nodeMessages";
import { SUSPICION_TIMEOUT_MS } from "./constants";
import { type Knowledge, mergeEntries } from "./entries";
import { buildMemberEntry, type Member, MemberCondition, readMember } from "./member";

/** The members that a node knows, and all entries that it holds. */
export interface MembershipState {
    /** Id of this node. */
    readonly selfId: string;
    /** All entries of all topics. */
    readonly knowledge: Knowledge;
    /** All known members by node id, including this node and dead ones. */
    readonly members: ReadonlyMap<string, Member>;
    /** Whether this node has announced that it leaves. */
    readonly isLeaving: boolean;
    /** Monotonic milliseconds of the last tick. */
    readonly tickedAtMs: number;
}

/** A new state, and the new entries to send to other nodes. */
export interface MembershipChange {
    readonly state: MembershipState;
    /** Entries that replaced older ones or were unknown. */
    readonly fresh: readonly Entry[];
}

/**
 * Creates the state of a node that knows only itself.
 *
 * @param selfId - This node's id
 * @param info - This node's address and placement
 * @param incarnation - Normally higher than at earlier starts; if not, a refutation raises it later
 * @param nowMs - Monotonic milliseconds
 * @returns The state and the entry that announces the node
 * @example
 * createMembershipState("node-1", info, Math.floor(clock.readWallMs()), clock.readMonotonicMs());
 */
export function createMembershipState(
    selfId: string,
    info: MemberInfo,
    incarnation: number,
    nowMs: number,
): MembershipChange {
    const empty = { selfId, knowledge: new Map(), members: new Map(), isLeaving: false, tickedAtMs: nowMs };
    const self = buildMemberEntry({ nodeId: selfId, info, incarnation, condition: MemberCondition.Alive });
    return applyEntries(empty, [self], nowMs);
}

/**
 * Merges entries received from another node. A newer entry about this node that it did not issue itself is refuted with
 * a higher incarnation.
 *
 * @param state - The state before
 * @param entries - The entries, in any order
 * @param nowMs - Monotonic milliseconds
 * @returns The state after and the new entries, including a refutation
 * @example
 * receiveEntries(state, message.entries, nowMs).fresh;
 */
export function receiveEntries(state: MembershipState, entries: readonly Entry[], nowMs: number): MembershipChange {
    const before = state.members.get(state.selfId);
    const merged = applyEntries(state, entries, nowMs);
    const after = merged.state.members.get(state.selfId);
    if (before === undefined || after === undefined || before === after) {
        return merged;
    }
    const condition = state.isLeaving ? MemberCondition.Left : MemberCondition.Alive;
    const refutation = { ...before, incarnation: after.incarnation + 1, condition };
    const refuted = applyEntries(merged.state, [buildMemberEntry(refutation)], nowMs);
    const others = merged.fresh.filter(entry => entry.topic !== "member" || entry.origin !== state.selfId);
    return { state: refuted.state, fresh: [...refuted.fresh, ...others] };
}

/**
 * Marks a member as suspected or dead, unless it is already known to be in that or a later condition.
 *
 * @param state - The state before
 * @param nodeId - The member; this node itself and unknown nodes are not changed
 * @param condition - The condition at the member's current incarnation
 * @param nowMs - Monotonic milliseconds
 * @returns The state after and the entry to send to other nodes
 * @example
 * setMemberCondition(state, "node-7", MemberCondition.Suspect, nowMs);
 */
export function setMemberCondition(
    state: MembershipState,
    nodeId: string,
    condition: MemberCondition,
    nowMs: number,
): MembershipChange {
    const member = state.members.get(nodeId);
    if (member === undefined || nodeId === state.selfId || member.condition >= condition) {
        return { state, fresh: [] };
    }
    return applyEntries(state, [buildMemberEntry({ ...member, condition })], nowMs);
}

/**
 * Announces that this node leaves. From then on it refutes suspicions with the condition `Left`.
 *
 * @param state - The state before
 * @param nowMs - Monotonic milliseconds
 * @returns The state after and the entry to send to other nodes
 * @example
 * leaveMembership(state, nowMs).fresh;
 */
export function leaveMembership(state: MembershipState, nowMs: number): MembershipChange {
    const self = state.members.get(state.selfId);
    if (self === undefined || state.isLeaving) {
        return { state, fresh: [] };
    }
    const entry = buildMemberEntry({ ...self, condition: MemberCondition.Left });
    return applyEntries({ ...state, isLeaving: true }, [entry], nowMs);
}

/**
 * Tells whether a member counts as live: alive, or suspected for less than `SUSPICION_TIMEOUT_MS`.
 *
 * @param member - The member
 * @param nowMs - Monotonic milliseconds
 * @returns False also for a member in an outage that has been suspected for longer, although it is not dead yet
 * @example
 * [...state.members.values()].filter(member => isLiveMember(member, nowMs));
 */
export function isLiveMember(member: Member, nowMs: number): boolean {
    return (
        member.condition === MemberCondition.Alive ||
        (member.condition === MemberCondition.Suspect && nowMs - member.sinceMs < SUSPICION_TIMEOUT_MS)
    );
}

/**
 * Lists the members that are neither dead nor departed, by node id: the roster to which the bits of messages refer.
 *
 * @param state - The state
 * @returns Members, this node included
 * @example
 * listRoster(state).length;
 */
export function listRoster(state: MembershipState): readonly Member[] {
    return [...state.members.values()]
        .filter(member => member.condition <= MemberCondition.Suspect)
        .sort((left, right) => (left.nodeId < right.nodeId ? -1 : 1));
}

function applyEntries(state: MembershipState, entries: readonly Entry[], nowMs: number): MembershipChange {
    const { knowledge, fresh } = mergeEntries(state.knowledge, entries, nowMs);
    const changed = fresh.filter(entry => entry.topic === "member");
    if (changed.length === 0) {
        return { state: { ...state, knowledge }, fresh };
    }
    const members = new Map(state.members);
    for (const entry of changed) {
        const member = readMember(entry, nowMs);
        if (member !== undefined) {
            members.set(entry.origin, member);
        }
    }
    return { state: { ...state, knowledge, members }, fresh };
}
