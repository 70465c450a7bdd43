/**
 * @module Advances membership in time: suspected members become dead, and old entries are dropped.
 */
import type { Entry } from "../../nodes/nodeMessages";
import {
    DOMAIN_SUSPICION_TIMEOUT_MS,
    MINIMUM_GROUP_SUSPECTS,
    GROUP_OUTAGE_SHARE,
    OWN_PAUSE_THRESHOLD_MS,
    REGION_SUSPICION_TIMEOUT_MS,
    SUSPICION_TIMEOUT_MS,
    TOMBSTONE_LIFETIME_MS,
} from "./constants";
import type { HeldEntry, Knowledge } from "./entries";
import { type Member, MemberCondition } from "./member";
import { listRoster, type MembershipChange, type MembershipState, setMemberCondition } from "./membershipState";
import { TOPIC_POLICIES } from "./topicPolicies";

/** Inputs of a tick. */
export interface TickFacts {
    /** Monotonic milliseconds. */
    readonly nowMs: number;
    /** Epoch milliseconds, for entries whose stamp is a time. */
    readonly wallMs: number;
    /** Nodes that have disappeared from the platform's list. */
    readonly goneNodeIds: ReadonlySet<string>;
}

/** How widely the failure of a suspected member is shared. */
export enum OutageScope {
    /** Only the member itself. */
    Member = "member",
    FailureDomain = "failure_domain",
    Region = "region",
    /** More than half of all nodes, so most likely this node itself is disconnected. */
    Majority = "most",
}

const SUSPICION_TIMEOUTS_MS: Readonly<Record<OutageScope, number>> = {
    [OutageScope.Member]: SUSPICION_TIMEOUT_MS,
    [OutageScope.FailureDomain]: DOMAIN_SUSPICION_TIMEOUT_MS,
    [OutageScope.Region]: REGION_SUSPICION_TIMEOUT_MS,
    [OutageScope.Majority]: REGION_SUSPICION_TIMEOUT_MS,
};

/**
 * Advances membership to a time. A suspected member becomes dead when its suspicion times out. The timeout is longer if
 * most of its failure domain or region is suspected too, because that is one outage and may be temporary. A suspected
 * member that has disappeared from the platform's list becomes dead immediately. The time for which this node itself
 * was paused doesn't count towards suspicion timeouts.
 *
 * @param state - The state before
 * @param facts - The time, and the nodes missing from the platform's list
 * @returns The state after and the entries of dead members to send to other nodes
 * @example
 * advanceMembership(state, { nowMs, wallMs, goneNodeIds: new Set() }).fresh;
 */
export function advanceMembership(state: MembershipState, facts: TickFacts): MembershipChange {
    const { nowMs } = facts;
    const elapsedMs = nowMs - state.tickedAtMs;
    const members = elapsedMs > OWN_PAUSE_THRESHOLD_MS ? addPauseToSuspicions(state.members, elapsedMs) : state.members;
    const ticked = { ...state, members, tickedAtMs: nowMs };
    const roster = listRoster(ticked);
    const timedOut = roster
        .filter(member => member.condition === MemberCondition.Suspect)
        .filter(member => {
            const timeoutMs = facts.goneNodeIds.has(member.nodeId)
                ? 0
                : SUSPICION_TIMEOUTS_MS[findOutageScope(member, roster)];
            return nowMs - member.sinceMs >= timeoutMs;
        });
    const initial: MembershipChange = { state: dropExpiredEntries(ticked, facts), fresh: [] };
    return timedOut.reduce((change, member) => {
        const next = setMemberCondition(change.state, member.nodeId, MemberCondition.Dead, nowMs);
        return { state: next.state, fresh: [...change.fresh, ...next.fresh] };
    }, initial);
}

/**
 * Finds the scope of the outage that a suspected member is part of.
 *
 * @param member - The suspected member
 * @param roster - All members that are neither dead nor departed
 * @returns The widest scope in which more than half of the members are suspected
 * @example
 * findOutageScope(member, listRoster(state));
 */
export function findOutageScope(member: Member, roster: readonly Member[]): OutageScope {
    if (hasOutage(roster)) {
        return OutageScope.Majority;
    }
    const region = roster.filter(({ info }) => info.region === member.info.region);
    if (hasOutage(region)) {
        return OutageScope.Region;
    }
    const domain = region.filter(({ info }) => info.failureDomain === member.info.failureDomain);
    return hasOutage(domain) ? OutageScope.FailureDomain : OutageScope.Member;
}

function hasOutage(group: readonly Member[]): boolean {
    const suspected = group.filter(member => member.condition === MemberCondition.Suspect).length;
    return suspected >= MINIMUM_GROUP_SUSPECTS && suspected > group.length * GROUP_OUTAGE_SHARE;
}

function addPauseToSuspicions(members: ReadonlyMap<string, Member>, pauseMs: number): ReadonlyMap<string, Member> {
    return new Map(
        [...members].map(([nodeId, member]) =>
            member.condition === MemberCondition.Suspect
                ? [nodeId, { ...member, sinceMs: member.sinceMs + pauseMs }]
                : [nodeId, member],
        ),
    );
}

function dropExpiredEntries(state: MembershipState, facts: TickFacts): MembershipState {
    const expired = [...state.knowledge].filter(([, held]) => isExpired(held, state.members, facts));
    if (expired.length === 0) {
        return state;
    }
    const knowledge = new Map(state.knowledge);
    const members = new Map(state.members);
    for (const [entryId, { entry }] of expired) {
        knowledge.delete(entryId);
        if (entry.topic === "member") {
            members.delete(entry.origin);
        }
    }
    return { ...state, knowledge: knowledge as Knowledge, members };
}

function isExpired(held: HeldEntry, members: ReadonlyMap<string, Member>, facts: TickFacts): boolean {
    if (held.entry.topic !== "member") {
        return isOutdatedEntry(held.entry, facts.wallMs) || facts.nowMs - held.receivedAtMs > getLifetimeMs(held.entry);
    }
    const member = members.get(held.entry.origin);
    return (
        member !== undefined &&
        member.condition >= MemberCondition.Dead &&
        facts.nowMs - member.sinceMs > TOMBSTONE_LIFETIME_MS
    );
}

/**
 * Tells whether a digested entry is too old to be accepted. This keeps nodes that drop it at slightly different times
 * from sending it back to each other.
 *
 * @param entry - The entry
 * @param wallMs - Epoch milliseconds
 * @returns Always false for members and for topics that are not digested
 * @example
 * entries.filter(entry => !isOutdatedEntry(entry, clock.readWallMs()));
 */
export function isOutdatedEntry(entry: Entry, wallMs: number): boolean {
    const policy = TOPIC_POLICIES[entry.topic];
    return policy.isDigested && wallMs - entry.stamp > policy.lifetimeMs;
}

function getLifetimeMs(entry: Entry): number {
    return TOPIC_POLICIES[entry.topic].lifetimeMs;
}
