/**
 * @module The task that maintains the list of known VMs.
 */
import type { Clock } from "../../base/clock";
import type { Random } from "../../base/createRandom";
import { closeChannel, createChannel, offerMessage, superviseTask, take, waitFor } from "../../base/csp";
import { createDisposableStore } from "../../base/createDisposableStore";
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import type { Failure } from "../../base/failure";
import { type VmRecord, VmState } from "../../model/endpoint";
import { ExchangeTopic, type NodeExchange } from "../../nodes/nodeExchange";
import type { CloudPort, VmListPort } from "../../ports/cloud";
import { computePollDelay } from "./computePollDelay";
import { INBOX_CAPACITY, LIST_POLL_INTERVAL_MS, NOTICE_POLL_INTERVAL_MS } from "./constants";
import type { DirectoryClient } from "./directoryClient";
import { decodeNotices } from "./decodeNotices";
import { type DirectoryState, EMPTY_DIRECTORY, type DepartureNotice } from "./directoryState";
import { encodeNotices } from "./encodeNotices";
import { expireDepartures } from "./expireDepartures";
import { mergeNotices } from "./mergeNotices";
import { mergeVmList } from "./mergeVmList";

/** Dependencies of the directory task. */
export interface DirectoryDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly vmList: VmListPort;
    readonly cloud: Pick<CloudPort, "listReclaimNotices">;
    readonly exchange: NodeExchange;
    readonly reportFailure: (name: string, failure: Failure) => void;
}

/** The running directory. */
export interface DirectoryTask extends DirectoryClient, DumpSource, Disposable {}

enum MessageKind {
    /** A VM list of the platform. */
    List = "list",
    /** Reclaim notices of the platform. */
    PlatformNotices = "platform_notices",
    /** Departure notices of another node. */
    NodeNotices = "node_notices",
}

type Message =
    | { readonly kind: MessageKind.List; readonly records: readonly VmRecord[] }
    | { readonly kind: MessageKind.PlatformNotices; readonly notices: readonly DepartureNotice[] }
    | { readonly kind: MessageKind.NodeNotices; readonly notices: readonly DepartureNotice[] };

/**
 * Creates the directory task and starts its polls.
 *
 * While the platform's list or notices are unavailable, the directory keeps its state.
 *
 * @param dependencies - The dependencies
 * @returns The running task
 * @example
 * const directory = createDirectoryTask({ clock, random, vmList, cloud, exchange, reportFailure });
 * directory.subscribeChanges(vms => updateEndpoints(vms));
 */
export function createDirectoryTask(dependencies: DirectoryDependencies): DirectoryTask {
    const { clock, exchange } = dependencies;
    const store = createDisposableStore();
    const inbox = createChannel<Message>(INBOX_CAPACITY);
    const listeners = new Set<(vms: readonly VmRecord[]) => void>();
    const failureCounts = { list: 0, notices: 0, dropped: 0 };
    let state: DirectoryState = EMPTY_DIRECTORY;
    let vms: readonly VmRecord[] = [];

    const applyState = (next: DirectoryState) => {
        state = expireDepartures(next, clock.readWallMs());
        const nextVms = [...state.entries.values()].map(entry => entry.record);
        if (!isSameList(vms, nextVms)) {
            vms = nextVms;
            listeners.forEach(listener => listener(vms));
        }
    };
    const handlers: { readonly [K in MessageKind]: (message: Extract<Message, { kind: K }>) => void } = {
        [MessageKind.List]: ({ records }) => applyState(mergeVmList(state, records, clock.readWallMs())),
        [MessageKind.PlatformNotices]: ({ notices }) => {
            const merged = mergeNotices(state, notices, clock.readWallMs());
            const [first] = merged.newNotices;
            if (first !== undefined) {
                exchange.publishUpdate(ExchangeTopic.VmLeaving, first.vmId, encodeNotices(merged.newNotices));
            }
            applyState(merged.state);
        },
        [MessageKind.NodeNotices]: ({ notices }) => {
            applyState(mergeNotices(state, notices, clock.readWallMs()).state);
        },
    };
    const offerToInbox = (message: Message) => {
        failureCounts.dropped += offerMessage(inbox, message) || store.isDisposed ? 0 : 1;
    };

    const supervision = { clock, reportFailure: dependencies.reportFailure };
    const startPolling = (name: string, minimumIntervalMs: number, poll: () => Promise<void>) => {
        void superviseTask(
            name,
            function* () {
                while (!store.isDisposed) {
                    yield* waitFor(poll());
                    const nodeCount = exchange.listLiveNodeIds().length;
                    const fraction = dependencies.random.drawFraction();
                    yield* waitFor(clock.waitMs(computePollDelay(minimumIntervalMs, nodeCount, fraction)));
                }
            },
            supervision,
        );
    };
    void superviseTask(
        "directory",
        function* () {
            for (let message = yield* take(inbox); message !== undefined; message = yield* take(inbox)) {
                handlers[message.kind](message as never);
            }
        },
        supervision,
    );
    startPolling("directory-list", LIST_POLL_INTERVAL_MS, async () => {
        const listed = await dependencies.vmList.listVms();
        listed.match(
            records => offerToInbox({ kind: MessageKind.List, records }),
            () => failureCounts.list++,
        );
    });
    startPolling("directory-notices", NOTICE_POLL_INTERVAL_MS, async () => {
        const listed = await dependencies.cloud.listReclaimNotices();
        listed.match(
            notices => offerToInbox({ kind: MessageKind.PlatformNotices, notices }),
            () => failureCounts.notices++,
        );
    });
    const unsubscribe = exchange.subscribeTopic(ExchangeTopic.VmLeaving, update => {
        offerToInbox({ kind: MessageKind.NodeNotices, notices: decodeNotices(update.payload) });
    });
    store.add({ dispose: unsubscribe });
    store.add({ dispose: () => closeChannel(inbox) });

    return {
        name: "directory",
        listVms: () => vms,
        subscribeChanges: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        dumpState: () => ({
            vms: vms.length,
            leaving: vms.filter(vm => vm.state === VmState.Leaving).map(vm => vm.vmId),
            departuresRemembered: state.departures.size,
            unavailable: failureCounts,
        }),
        dispose: () => store.dispose(),
    };
}

function isSameList(left: readonly VmRecord[], right: readonly VmRecord[]): boolean {
    return left.length === right.length && left.every((vm, index) => isSameVm(vm, right[index]));
}

function isSameVm(left: VmRecord, right: VmRecord | undefined): boolean {
    return right !== undefined && JSON.stringify(left) === JSON.stringify(right);
}
