/**
 * @module Which nodes a node exchanges with.
 *
 * All nodes lie on several rings, each in an order of its own. A node begins exchanges with its successor on each ring,
 * so it has few links, is watched by as many others, and news reach all nodes in few steps.
 */
import { hashText } from "../../base/hashText";
import { GLOBAL_RINGS, REGION_RINGS } from "./constants";
import { type Member, MemberCondition } from "./member";

/**
 * Chooses the nodes that a node begins exchanges with. Suspected members are passed over: they are tried separately.
 *
 * @param self - The node that chooses; it may be leaving
 * @param roster - All members that are neither dead nor gone
 * @returns Its successor on each ring; one that succeeds it on several rings stands there as often, so that all nodes
 * are called equally often when the list is walked in turn
 * @example
 * chooseNeighbours(self, listRoster(state)).map(member => member.nodeId);
 */
export function chooseNeighbours(self: Member, roster: readonly Member[]): readonly Member[] {
    const usable = roster.filter(member => member.condition === MemberCondition.Alive);
    const regional = usable.filter(member => member.info.region === self.info.region);
    const rings = [
        ...Array.from({ length: REGION_RINGS }, (_unused, ring) => findSuccessor(self, regional, ring)),
        ...Array.from({ length: GLOBAL_RINGS }, (_unused, ring) => findSuccessor(self, usable, REGION_RINGS + ring)),
    ];
    return rings.filter(member => member !== undefined);
}

function findSuccessor(self: Member, ring: readonly Member[], seed: number): Member | undefined {
    const place = hashText(self.nodeId, seed);
    let first: { readonly member: Member; readonly distance: number } | undefined;
    for (const member of ring) {
        const distance = (hashText(member.nodeId, seed) - place + 2 ** 32) % 2 ** 32;
        if (member.nodeId !== self.nodeId && (first === undefined || distance < first.distance)) {
            first = { member, distance };
        }
    }
    return first?.member;
}
