/**
 * @module Nodes that the platform's list shows.
 */
import type { Member } from "../../../decisions/membership/member";
import { type VmRecord, VmRole, VmState } from "../../../model/endpoint";
import type { NodeAddress } from "../../../nodes/nodeTransport";

/** What the platform's list shows of nodes, now and before. */
export interface SeedState {
    /** Nodes that are listed as live now. */
    readonly listed: readonly NodeAddress[];
    /** Addresses that were listed at some time, as `address:port`. */
    readonly everListed: ReadonlySet<string>;
}

/** Gives the text by which addresses are compared. */
export function toAddressKey({ address, port }: NodeAddress): string {
    return `${address}:${port}`;
}

/** Takes in a newer list. */
export function updateSeeds(state: SeedState, vms: readonly VmRecord[]): SeedState {
    const nodes = vms.filter(vm => vm.role === VmRole.Node);
    return {
        listed: nodes.filter(vm => vm.state === VmState.Live),
        everListed: new Set([...state.everListed, ...nodes.map(toAddressKey)]),
    };
}

/** Finds the members whose VM was listed once and is listed no more. */
export function findGoneNodeIds(state: SeedState, members: Iterable<Member>): ReadonlySet<string> {
    const listed = new Set(state.listed.map(toAddressKey));
    const gone = [...members].filter(({ info }) => {
        const key = toAddressKey(info);
        return state.everListed.has(key) && !listed.has(key);
    });
    return new Set(gone.map(member => member.nodeId));
}

/** Lists the listed nodes at whose address no usable member is known. */
export function listUnknownSeeds(state: SeedState, known: readonly Member[]): readonly NodeAddress[] {
    const addresses = new Set(known.map(member => toAddressKey(member.info)));
    return state.listed.filter(seed => !addresses.has(toAddressKey(seed)));
}
