/**
 * @module Which node that is out of reach, or not known yet, to try next.
 */
import { LRUCache } from "lru-cache";
import type { Random } from "../../../base/createRandom";
import { JOIN_MS, JOIN_PERIOD_MS, RECONNECT_PERIOD_MS, SEED_REPEAT_MS } from "../../../decisions/membership/constants";
import { type Member, MemberCondition } from "../../../decisions/membership/member";
import { listRoster, type MembershipState } from "../../../decisions/membership/membershipState";
import type { VmRecord } from "../../../model/endpoint";
import type { NodeAddress } from "../../../nodes/nodeTransport";
import { findGoneNodeIds, listUnknownSeeds, type SeedState, toAddressKey, updateSeeds } from "./seeds";

const SEEDS_REMEMBERED = 1_000;

/** A node to try: a member that is out of reach, or an address of the platform's list. */
export interface ReconnectChoice {
    readonly member?: Member;
    readonly seed?: NodeAddress;
}

/** Owner of what the platform's list shows, and of when which node was tried. */
export interface Reconnector {
    updateSeeds(vms: readonly VmRecord[]): void;
    /** Finds the members whose VM the platform's list showed once and shows no more. */
    findGoneNodeIds(membership: MembershipState): ReadonlySet<string>;
    /** Chooses whom to try now, at random; nobody if it is not yet time or all is well. */
    chooseNext(membership: MembershipState, nowMs: number): ReconnectChoice;
    /** Notes that a listed node has given a snapshot. One that stays unknown is not asked again for some time. */
    recordAnswer(seed: NodeAddress, nowMs: number): void;
}

/** Creates the owner; the first minute counts as joining, when listed nodes are tried more often. */
export function createReconnector(random: Random, startedAtMs: number): Reconnector {
    const answeredAtMs = new LRUCache<string, number>({ max: SEEDS_REMEMBERED });
    let seeds: SeedState = { listed: [], everListed: new Set() };
    let triedAtMs = Number.NEGATIVE_INFINITY;
    const isAskedLately = (seed: NodeAddress, nowMs: number) =>
        nowMs - (answeredAtMs.get(toAddressKey(seed)) ?? Number.NEGATIVE_INFINITY) <= SEED_REPEAT_MS;
    return {
        updateSeeds: vms => {
            seeds = updateSeeds(seeds, vms);
        },
        findGoneNodeIds: membership => findGoneNodeIds(seeds, membership.members.values()),
        chooseNext: (membership, nowMs) => {
            const unknown = listUnknownSeeds(seeds, listRoster(membership)).filter(seed => !isAskedLately(seed, nowMs));
            const isJoining = unknown.length > 0 && nowMs - startedAtMs < JOIN_MS;
            if (nowMs - triedAtMs < (isJoining ? JOIN_PERIOD_MS : RECONNECT_PERIOD_MS)) {
                return {};
            }
            triedAtMs = nowMs;
            const lost = [...membership.members.values()].filter(isOutOfReach);
            const choice = random.drawInteger(0, Math.max(0, lost.length + unknown.length - 1));
            return choice < lost.length ? { member: lost[choice] } : { seed: unknown[choice - lost.length] };
        },
        recordAnswer: (seed, nowMs) => void answeredAtMs.set(toAddressKey(seed), nowMs),
    };
}

function isOutOfReach(member: Member): boolean {
    return member.condition === MemberCondition.Suspect || member.condition === MemberCondition.Dead;
}
