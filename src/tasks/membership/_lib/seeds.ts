/**
 * @module Seed nodes: the nodes on the platform's VM list, used for first contacts.
 */
import type { Member } from "../../../decisions/membership/member";
import { type VmRecord, VmRole, VmState } from "../../../model/endpoint";
import type { NodeAddress } from "../../../nodes/nodeTransport";

/** Nodes on the platform's list, now and earlier. */
export interface SeedState {
    /** Nodes that are currently listed as live. */
    readonly listed: readonly NodeAddress[];
    /** Addresses that have ever been listed, as `address:port`. */
    readonly everListed: ReadonlySet<string>;
}

/** Returns the key by which addresses are compared. */
export function toAddressKey({ address, port }: NodeAddress): string {
    return `${address}:${port}`;
}

/** Updates the state from a newer list. */
export function updateSeeds(state: SeedState, vms: readonly VmRecord[]): SeedState {
    const nodes = vms.filter(vm => vm.role === VmRole.Node);
    return {
        listed: nodes.filter(vm => vm.state === VmState.Live),
        everListed: new Set([...state.everListed, ...nodes.map(toAddressKey)]),
    };
}

/** Finds the members whose VM was listed and is no longer listed as live. */
export function findGoneNodeIds(state: SeedState, members: Iterable<Member>): ReadonlySet<string> {
    const listed = new Set(state.listed.map(toAddressKey));
    const gone = [...members].filter(({ info }) => {
        const key = toAddressKey(info);
        return state.everListed.has(key) && !listed.has(key);
    });
    return new Set(gone.map(member => member.nodeId));
}

/** Lists the seeds whose address belongs to no member in `known`. */
export function listUnknownSeeds(state: SeedState, known: readonly Member[]): readonly NodeAddress[] {
    const addresses = new Set(known.map(member => toAddressKey(member.info)));
    return state.listed.filter(seed => !addresses.has(toAddressKey(seed)));
}
