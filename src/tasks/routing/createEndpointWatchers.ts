/**
 * @module Telling the holders of attempts that an endpoint leaves or is gone.
 */
import type { Clock } from "../../base/clock";
import { type Channel, closeChannel, createChannel, offerMessage, Overflow } from "../../base/csp";
import { type VmRecord, VmState } from "../../model/endpoint";
import { NOTICES_CAPACITY } from "./constants";
import type { EndpointNotice } from "./routingClient";

/** The watchers of all endpoints. */
export interface EndpointWatchers {
    /** Watches an endpoint; one that is leaving already gives a notice at once. */
    watchEndpoint(endpointId: string): { readonly notices: Channel<EndpointNotice>; release(): void };
    /** Compares the VMs with the earlier ones and tells the watchers what changed. */
    updateVms(vms: readonly VmRecord[]): void;
    /** Number of endpoints that are watched. */
    countWatched(): number;
}

/**
 * Creates the watchers.
 *
 * @param clock - Converts the platform's times to monotonic ones
 * @returns The watchers
 * @example
 * const watchers = createEndpointWatchers(clock);
 */
export function createEndpointWatchers(clock: Clock): EndpointWatchers {
    const watchers = new Map<string, Set<Channel<EndpointNotice>>>();
    let known = new Map<string, VmRecord>();

    const createNotice = (endpointId: string, vm: VmRecord | undefined): EndpointNotice => {
        if (vm === undefined) {
            return { endpointId };
        }
        const leftMs = vm.reclaimAtWallMs === undefined ? Infinity : vm.reclaimAtWallMs - clock.readWallMs();
        return { endpointId, goneAtMs: clock.readMonotonicMs() + leftMs };
    };
    const notify = (endpointId: string, before: VmRecord | undefined, now: VmRecord | undefined) => {
        const isReplaced = before !== undefined && now !== undefined && now.incarnation !== before.incarnation;
        const isGone = now === undefined || isReplaced;
        const isNewlyLeaving = now?.state === VmState.Leaving && before?.state !== VmState.Leaving;
        if (isGone || isNewlyLeaving || now.reclaimAtWallMs !== before?.reclaimAtWallMs) {
            const notice = createNotice(endpointId, isGone ? undefined : now);
            watchers.get(endpointId)?.forEach(notices => offerMessage(notices, notice));
        }
    };
    return {
        watchEndpoint: endpointId => {
            const notices = createChannel<EndpointNotice>(NOTICES_CAPACITY, { overflow: Overflow.DropOldest });
            const watching = watchers.get(endpointId) ?? new Set();
            watchers.set(endpointId, watching.add(notices));
            const vm = known.get(endpointId);
            if (vm?.state !== VmState.Live) {
                offerMessage(notices, createNotice(endpointId, vm));
            }
            return {
                notices,
                release: () => {
                    watching.delete(notices);
                    if (watching.size === 0 && watchers.get(endpointId) === watching) {
                        watchers.delete(endpointId);
                    }
                    closeChannel(notices);
                },
            };
        },
        updateVms: vms => {
            const before = known;
            known = new Map(vms.map(vm => [vm.vmId, vm]));
            for (const endpointId of watchers.keys()) {
                if (before.has(endpointId)) {
                    notify(endpointId, before.get(endpointId), known.get(endpointId));
                }
            }
        },
        countWatched: () => watchers.size,
    };
}
