/**
 * @module Notifies the owners of attempts when their endpoint is leaving or gone.
 */
import type { Clock } from "../../base/clock";
import { type Channel, closeChannel, createChannel, offerMessage, Overflow } from "../../base/csp";
import { type VmRecord, VmState } from "../../model/endpoint";
import { NOTICES_CAPACITY } from "./constants";
import type { EndpointNotice } from "./routingClient";

/** The watchers of all endpoints. */
export interface EndpointWatchers {
    /** Watches an endpoint. One that is already leaving or gone gives a notice at once. */
    watchEndpoint(endpointId: string): { readonly notices: Channel<EndpointNotice>; release(): void };
    /** Compares the VMs with the previous ones and notifies watchers of changes. */
    updateVms(vms: readonly VmRecord[]): void;
    /** Counts the endpoints that are being watched. */
    countWatchedEndpoints(): number;
}

/**
 * Creates the watchers.
 *
 * @param clock - Converts the platform's wall-clock times to monotonic times
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
        const remainingMs = vm.reclaimAtWallMs === undefined ? Infinity : vm.reclaimAtWallMs - clock.readWallMs();
        return { endpointId, goneAtMs: clock.readMonotonicMs() + remainingMs };
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
            const channels = watchers.get(endpointId) ?? new Set();
            watchers.set(endpointId, channels.add(notices));
            const vm = known.get(endpointId);
            if (vm?.state !== VmState.Live) {
                offerMessage(notices, createNotice(endpointId, vm));
            }
            return {
                notices,
                release: () => {
                    channels.delete(notices);
                    if (channels.size === 0 && watchers.get(endpointId) === channels) {
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
        countWatchedEndpoints: () => watchers.size,
    };
}
