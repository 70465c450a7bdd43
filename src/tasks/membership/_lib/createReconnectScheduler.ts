/**
 * @module Schedules attempts to contact nodes that are out of reach or not known yet.
 */
import { LRUCache } from "lru-cache";
import type { Random } from "../../../base/createRandom";
import {
    JOIN_WINDOW_MS,
    JOIN_PERIOD_MS,
    RECONNECT_PERIOD_MS,
    SEED_RETRY_INTERVAL_MS,
} from "../../../decisions/membership/constants";
import { type Member, MemberCondition } from "../../../decisions/membership/member";
import { listRoster, type MembershipState } from "../../../decisions/membership/membershipState";
import type { VmRecord } from "../../../model/endpoint";
import type { NodeAddress } from "../../../nodes/nodeTransport";
import { findGoneNodeIds, listUnknownSeeds, type SeedState, toAddressKey, updateSeeds } from "./seeds";

const MAXIMUM_REMEMBERED_SEEDS = 1_000;

/** A node to contact: a member that is out of reach, or an address from the platform's list; empty for none. */
export interface ReconnectTarget {
    readonly member?: Member;
    readonly seed?: NodeAddress;
}

/** Keeps the platform's node list and when nodes were last contacted. */
export interface ReconnectScheduler {
    updateSeeds(vms: readonly VmRecord[]): void;
    /** Finds the members whose VM was on the platform's list and no longer is. */
    findGoneNodeIds(membership: MembershipState): ReadonlySet<string>;
    /** Chooses a node to contact now, at random; none before the next attempt is due or if all nodes are reachable. */
    chooseNextTarget(membership: MembershipState, nowMs: number): ReconnectTarget;
    /** Records that a listed node has sent a snapshot. If it stays unknown, it is not asked again for a while. */
    recordSnapshot(seed: NodeAddress, nowMs: number): void;
}

/** Creates the scheduler. During the join window after the start, it contacts unknown listed nodes more often. */
export function createReconnectScheduler(random: Random, startedAtMs: number): ReconnectScheduler {
    const answeredAtMs = new LRUCache<string, number>({ max: MAXIMUM_REMEMBERED_SEEDS });
    let seeds: SeedState = { listed: [], everListed: new Set() };
    let lastAttemptAtMs = Number.NEGATIVE_INFINITY;
    const hasAnsweredRecently = (seed: NodeAddress, nowMs: number) =>
        nowMs - (answeredAtMs.get(toAddressKey(seed)) ?? Number.NEGATIVE_INFINITY) <= SEED_RETRY_INTERVAL_MS;
    return {
        updateSeeds: vms => {
            seeds = updateSeeds(seeds, vms);
        },
        findGoneNodeIds: membership => findGoneNodeIds(seeds, membership.members.values()),
        chooseNextTarget: (membership, nowMs) => {
            const unknown = listUnknownSeeds(seeds, listRoster(membership)).filter(
                seed => !hasAnsweredRecently(seed, nowMs),
            );
            const isJoining = unknown.length > 0 && nowMs - startedAtMs < JOIN_WINDOW_MS;
            if (nowMs - lastAttemptAtMs < (isJoining ? JOIN_PERIOD_MS : RECONNECT_PERIOD_MS)) {
                return {};
            }
            lastAttemptAtMs = nowMs;
            const unreachable = [...membership.members.values()].filter(isOutOfReach);
            const index = random.drawInteger(0, Math.max(0, unreachable.length + unknown.length - 1));
            return index < unreachable.length
                ? { member: unreachable[index] }
                : { seed: unknown[index - unreachable.length] };
        },
        recordSnapshot: (seed, nowMs) => void answeredAtMs.set(toAddressKey(seed), nowMs),
    };
}

function isOutOfReach(member: Member): boolean {
    return member.condition === MemberCondition.Suspect || member.condition === MemberCondition.Dead;
}
