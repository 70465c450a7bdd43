/**
 * @module Chooses the nodes with which a node exchanges entries.
 *
 * All nodes are placed on several hash rings, each with its own order. A node begins exchanges with its successor on
 * each ring. So each node has few connections, as many nodes monitor it, and new entries reach all nodes in few hops.
 */
import { hashText } from "../../base/hashText";
import { GLOBAL_RINGS, REGION_RINGS } from "./constants";
import { type Member, MemberCondition } from "./member";

/**
 * Chooses the nodes with which a node begins exchanges. Suspected members are skipped; they are contacted separately.
 *
 * @param self - The node that chooses; it may be leaving
 * @param roster - All members that are neither dead nor departed
 * @returns Its successor on each ring. A successor on several rings is listed as many times, so that all nodes are
 * contacted equally often when the list is used in rotation
 * @example
 * chooseNeighbours(self, listRoster(state)).map(member => member.nodeId);
 */
export function chooseNeighbours(self: Member, roster: readonly Member[]): readonly Member[] {
    const usable = roster.filter(member => member.condition === MemberCondition.Alive);
    const regional = usable.filter(member => member.info.region === self.info.region);
    const successors = [
        ...Array.from({ length: REGION_RINGS }, (_unused, ring) => findSuccessor(self, regional, ring)),
        ...Array.from({ length: GLOBAL_RINGS }, (_unused, ring) => findSuccessor(self, usable, REGION_RINGS + ring)),
    ];
    return successors.filter(member => member !== undefined);
}

function findSuccessor(self: Member, ring: readonly Member[], seed: number): Member | undefined {
    const position = hashText(self.nodeId, seed);
    let nearest: { readonly member: Member; readonly distance: number } | undefined;
    for (const member of ring) {
        const distance = (hashText(member.nodeId, seed) - position + 2 ** 32) % 2 ** 32;
        if (member.nodeId !== self.nodeId && (nearest === undefined || distance < nearest.distance)) {
            nearest = { member, distance };
        }
    }
    return nearest?.member;
}
