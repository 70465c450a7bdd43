/**
 * @module What the passing of time changes: suspicions end in death, and old entries are dropped.
 */
import type { Entry } from "../../nodes/nodeMessages";
import {
    DOMAIN_HOLD_MS,
    GROUP_LOST_MINIMUM,
    GROUP_LOST_SHARE,
    OWN_PAUSE_MS,
    REGION_HOLD_MS,
    SUSPICION_MS,
    TOMBSTONE_MS,
} from "./constants";
import type { HeldEntry, Knowledge } from "./entries";
import { type Member, MemberCondition } from "./member";
import { listRoster, type MembershipChange, type MembershipState, setCondition } from "./membershipState";
import { TOPIC_POLICIES } from "./topicPolicies";

/** What a tick is told. */
export interface TickFacts {
    /** Monotonic milliseconds. */
    readonly nowMs: number;
    /** Epoch milliseconds, for entries whose stamp is a time. */
    readonly wallMs: number;
    /** Nodes that the platform's list showed once and shows no more. */
    readonly goneNodeIds: ReadonlySet<string>;
}

/** Which members a tick finds lost together. */
export enum LostScope {
    /** The member alone. */
    Member = "member",
    FailureDomain = "failure_domain",
    Region = "region",
    /** More than half of all nodes: most likely this node itself is cut off. */
    Most = "most",
}

const HOLD_MS: Readonly<Record<LostScope, number>> = {
    [LostScope.Member]: SUSPICION_MS,
    [LostScope.FailureDomain]: DOMAIN_HOLD_MS,
    [LostScope.Region]: REGION_HOLD_MS,
    [LostScope.Most]: REGION_HOLD_MS,
};

/**
 * Lets time pass. A suspected member is taken for dead once its suspicion has lasted: longer where most of its failure
 * domain or region is suspected too, since that is one event and may heal. After a pause of this node itself nobody is
 * judged by what was known before.
 *
 * @param state - The state before
 * @param facts - The time, and what the platform's list shows
 * @returns The state after and the deaths to be told on
 * @example
 * advanceMembership(state, { nowMs, wallMs, goneNodeIds: new Set() }).fresh;
 */
export function advanceMembership(state: MembershipState, facts: TickFacts): MembershipChange {
    const { nowMs } = facts;
    const pausedMs = nowMs - state.tickedAtMs;
    const members = pausedMs > OWN_PAUSE_MS ? moveSuspicions(state.members, pausedMs) : state.members;
    const ticked = { ...state, members, tickedAtMs: nowMs };
    const roster = listRoster(ticked);
    const expired = roster
        .filter(member => member.condition === MemberCondition.Suspect)
        .filter(member => {
            const holdMs = facts.goneNodeIds.has(member.nodeId) ? 0 : HOLD_MS[findLostScope(member, roster)];
            return nowMs - member.sinceMs >= holdMs;
        });
    const initial: MembershipChange = { state: dropExpired(ticked, facts), fresh: [] };
    return expired.reduce((change, member) => {
        const next = setCondition(change.state, member.nodeId, MemberCondition.Dead, nowMs);
        return { state: next.state, fresh: [...change.fresh, ...next.fresh] };
    }, initial);
}

/**
 * Finds with how many others a suspected member is lost.
 *
 * @param member - The suspected member
 * @param roster - All members that are neither dead nor gone
 * @returns The widest scope of which more than half is suspected
 * @example
 * findLostScope(member, listRoster(state));
 */
export function findLostScope(member: Member, roster: readonly Member[]): LostScope {
    if (isLost(roster)) {
        return LostScope.Most;
    }
    const region = roster.filter(({ info }) => info.region === member.info.region);
    if (isLost(region)) {
        return LostScope.Region;
    }
    const domain = region.filter(({ info }) => info.failureDomain === member.info.failureDomain);
    return isLost(domain) ? LostScope.FailureDomain : LostScope.Member;
}

function isLost(group: readonly Member[]): boolean {
    const suspected = group.filter(member => member.condition === MemberCondition.Suspect).length;
    return suspected >= GROUP_LOST_MINIMUM && suspected > group.length * GROUP_LOST_SHARE;
}

function moveSuspicions(members: ReadonlyMap<string, Member>, byMs: number): ReadonlyMap<string, Member> {
    return new Map(
        [...members].map(([nodeId, member]) =>
            member.condition === MemberCondition.Suspect
                ? [nodeId, { ...member, sinceMs: member.sinceMs + byMs }]
                : [nodeId, member],
        ),
    );
}

function dropExpired(state: MembershipState, facts: TickFacts): MembershipState {
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
        return isOutdated(held.entry, facts.wallMs) || facts.nowMs - held.receivedAtMs > getLifetimeMs(held.entry);
    }
    const member = members.get(held.entry.origin);
    return (
        member !== undefined && member.condition >= MemberCondition.Dead && facts.nowMs - member.sinceMs > TOMBSTONE_MS
    );
}

/**
 * Tells whether a digested entry is too old to be taken in, so that nodes that drop it at slightly different times do
 * not hand it back to each other.
 *
 * @param entry - The entry
 * @param wallMs - Epoch milliseconds
 * @returns Always false for members and for topics that are not digested
 * @example
 * entries.filter(entry => !isOutdated(entry, clock.readWallMs()));
 */
export function isOutdated(entry: Entry, wallMs: number): boolean {
    const policy = TOPIC_POLICIES[entry.topic];
    return policy.isDigested && wallMs - entry.stamp > policy.lifetimeMs;
}

function getLifetimeMs(entry: Entry): number {
    return TOPIC_POLICIES[entry.topic].lifetimeMs;
}
