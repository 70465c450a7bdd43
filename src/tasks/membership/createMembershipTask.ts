/**
 * @module The task that tracks the other nodes and exchanges updates with them.
 */
import { err } from "neverthrow";
import type { Clock } from "../../base/clock";
import { createFailure } from "../../base/createFailure";
import { closeChannel, createChannel, offerMessage, sendMessage, superviseTask, take } from "../../base/csp";
import type { Random } from "../../base/createRandom";
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import { type Failure, FailureKind } from "../../base/failure";
import { FailureError } from "../../base/failureError";
import { BULK_TIMEOUT_MS, EXCHANGE_PERIOD_MS, MAXIMUM_UPDATE_BYTES } from "../../decisions/membership/constants";
import { MemberCondition } from "../../decisions/membership/member";
import { isLiveMember, listRoster } from "../../decisions/membership/membershipState";
import { TOPIC_POLICIES } from "../../decisions/membership/topicPolicies";
import type { Placement } from "../../model/endpoint";
import type { ExchangeTopic, ExchangeUpdate, NodeExchange } from "../../nodes/nodeExchange";
import {
    decodeChangesRequest,
    decodeProbeRequest,
    encodeChangesRequest,
    encodeProbeReply,
    encodeSnapshot,
} from "../../nodes/nodeMessages";
import { type NodeAddress, NodeCall, type NodeTransport } from "../../nodes/nodeTransport";
import type { ChangesReader, RevisionExchange } from "../../nodes/revisionExchange";
import type { DirectoryClient } from "../directory/directoryClient";
import { createMembershipProtocol } from "./_lib/createMembershipProtocol";
import { type MembershipMessage, MembershipMessageKind } from "./_lib/membershipMessage";
import { probeDirectly } from "./_lib/probeMember";
import { toMemberView } from "./_lib/toMemberView";
import type { MembershipClient } from "./membershipClient";

const LEAVE_TIMEOUT_MS = 2_000;
const PROCESS_NUMBER_MAX = 2 ** 31 - 1;

/** Dependencies of the membership task. */
export interface MembershipTaskOptions {
    readonly nodeId: string;
    /** Address of this node for other nodes, and its region and failure domain. */
    readonly self: NodeAddress & Placement;
    readonly transport: NodeTransport;
    readonly clock: Clock;
    readonly random: Random;
    /** The platform's VM list, which lags; used for first contacts and to find VMs that are gone. */
    readonly directory?: DirectoryClient;
    readonly reportFailure?: (name: string, failure: Failure) => void;
}

/** The running membership task. */
export type MembershipTask = MembershipClient & NodeExchange & RevisionExchange & Disposable & DumpSource;

/**
 * Starts the membership task, which from then on answers calls of other nodes on the transport.
 *
 * @param options - Its dependencies
 * @returns The task and its clients
 * @example
 * const membership = createMembershipTask({ nodeId, self, transport, clock, random, directory });
 */
export function createMembershipTask(options: MembershipTaskOptions): MembershipTask {
    const { nodeId, transport, clock, random } = options;
    const inbox = createChannel<MembershipMessage>(1_024);
    const topicListeners = new Map<ExchangeTopic, Set<(update: ExchangeUpdate) => void>>();
    const revisionListeners = new Set<(nodeId: string, revision: number) => void>();
    const memberListeners = new Set<Parameters<MembershipClient["subscribeMembers"]>[0]>();
    let changesReader: ChangesReader = () => new Uint8Array();
    let disposed = false;
    const send = (message: MembershipMessage) => void offerMessage(inbox, message);

    const protocol = createMembershipProtocol({
        nodeId,
        info: { ...options.self, processNumber: random.drawInteger(1, PROCESS_NUMBER_MAX) },
        transport,
        clock,
        random,
        send,
        hooks: {
            onUpdate: update => topicListeners.get(update.topic)?.forEach(listener => listener(update)),
            onMemberChange: member =>
                [...memberListeners].forEach(listener => listener(toMemberView(member, clock.readMonotonicMs()))),
            onRevision: (fromNodeId, revision) =>
                [...revisionListeners].forEach(listener => listener(fromNodeId, revision)),
        },
    });
    const readMembership = () => protocol.readState().membership;

    const handlers: Readonly<Record<NodeCall, (body: Uint8Array) => Promise<Uint8Array>>> = {
        [NodeCall.Exchange]: body =>
            new Promise((resolve, reject) => {
                const message: MembershipMessage = {
                    kind: MembershipMessageKind.ExchangeReceived,
                    body,
                    reply: resolve,
                };
                void sendMessage(inbox, message).then(sent => (sent ? undefined : reject(createShutdownError())));
            }),
        [NodeCall.Probe]: async body => {
            const request = decodeProbeRequest(body);
            const target = request.isOk() ? request.value.target : undefined;
            const isReached = target === undefined || (await probeDirectly(transport, nodeId, target));
            return encodeProbeReply({ nodeId, isReached });
        },
        [NodeCall.ReadChanges]: body =>
            Promise.resolve(decodeChangesRequest(body).map(changesReader).unwrapOr(new Uint8Array())),
        [NodeCall.ReadSnapshot]: () => {
            const entries = [...readMembership().knowledge.values()].map(held => held.entry);
            return Promise.resolve(encodeSnapshot(entries.filter(entry => TOPIC_POLICIES[entry.topic].isDigested)));
        },
    };
    transport.setCallHandler((call, body) => (disposed ? Promise.reject(createShutdownError()) : handlers[call](body)));
    const unsubscribeDirectory = options.directory?.subscribeChanges(vms => protocol.updateSeeds(vms));
    protocol.updateSeeds(options.directory?.listVms() ?? []);

    void superviseTask(
        "membership",
        function* () {
            for (let message = yield* take(inbox); message !== undefined; message = yield* take(inbox)) {
                protocol.handleMessage(message);
            }
        },
        { clock, reportFailure: (name, failure) => options.reportFailure?.(name, failure) },
    );
    const runTicks = async () => {
        while (!disposed) {
            send({ kind: MembershipMessageKind.Tick });
            await clock.waitMs(EXCHANGE_PERIOD_MS * (0.9 + 0.2 * random.drawFraction()));
        }
    };
    void runTicks();

    return {
        name: "membership",
        publishUpdate: (topic, key, payload) => {
            if (payload.length > MAXIMUM_UPDATE_BYTES) {
                const message = `An update of ${payload.length} bytes is larger than ${MAXIMUM_UPDATE_BYTES}.`;
                options.reportFailure?.("membership", createFailure(FailureKind.Internal, message));
                return;
            }
            send({ kind: MembershipMessageKind.Publish, topic, key, payload });
        },
        subscribeTopic: (topic, listener) => {
            const listeners = topicListeners.get(topic) ?? new Set();
            topicListeners.set(topic, listeners.add(listener));
            return () => void listeners.delete(listener);
        },
        listLiveNodeIds: () => {
            const nowMs = clock.readMonotonicMs();
            return listRoster(readMembership())
                .filter(member => isLiveMember(member, nowMs))
                .map(member => member.nodeId);
        },
        publishRevision: revision => send({ kind: MembershipMessageKind.Revision, revision }),
        listRevisions: () =>
            listRoster(readMembership()).map(member => ({
                nodeId: member.nodeId,
                revision: protocol.readState().revisions.get(member.nodeId) ?? 0,
                isSuspect: member.condition === MemberCondition.Suspect,
                region: member.info.region,
                failureDomain: member.info.failureDomain,
            })),
        subscribeRevisions: listener => {
            revisionListeners.add(listener);
            return () => void revisionListeners.delete(listener);
        },
        readPeerChanges: async (peerId, afterRevision) => {
            const peer = readMembership().members.get(peerId);
            if (peer === undefined) {
                return err(createFailure(FailureKind.NotFound, `No node ${peerId} is known.`));
            }
            const body = encodeChangesRequest(afterRevision);
            return transport.callNode(peer.info, NodeCall.ReadChanges, body, { timeoutMs: BULK_TIMEOUT_MS });
        },
        setChangesReader: reader => {
            changesReader = reader;
        },
        listMembers: () => {
            const nowMs = clock.readMonotonicMs();
            return [...readMembership().members.values()].map(member => toMemberView(member, nowMs));
        },
        subscribeMembers: listener => {
            memberListeners.add(listener);
            return () => void memberListeners.delete(listener);
        },
        leave: async () => {
            send({ kind: MembershipMessageKind.Leave });
            await Promise.race([protocol.waitUntilLeaveSent(), clock.waitMs(LEAVE_TIMEOUT_MS)]);
        },
        countTraffic: () => transport.countTraffic(),
        dumpState: () => ({
            members: [...readMembership().members.values()].map(member =>
                toMemberView(member, clock.readMonotonicMs()),
            ),
            neighbours: protocol.listNeighbourIds(),
            entries: readMembership().knowledge.size,
            pending: protocol.readState().pending.size,
            budgetBytes: Math.round(protocol.readState().budget.bytes),
            traffic: transport.countTraffic(),
        }),
        dispose: () => {
            disposed = true;
            unsubscribeDirectory?.();
            closeChannel(inbox);
        },
    };
}

function createShutdownError(): FailureError {
    return new FailureError(createFailure(FailureKind.ShuttingDown, "The node is shutting down."));
}
