/**
 * @module The gossip protocol between nodes: owns its state and handles the membership task's messages one at a time.
 */
import type { Clock } from "../../../base/clock";
import type { Random } from "../../../base/createRandom";
import { advanceMembership } from "../../../decisions/membership/advanceMembership";
import { chooseNeighbours } from "../../../decisions/membership/chooseNeighbours";
import {
    EXCHANGE_TIMEOUT_MS,
    FOLLOW_UP_RESERVE_BYTES,
    INDIRECT_PROBES,
    MESSAGE_BASE_BYTES,
    OWN_PAUSE_THRESHOLD_MS,
    SEND_BURST_BYTES,
    APPLIED_REVISIONS_DELAY_MS,
} from "../../../decisions/membership/constants";
import {
    applyMembershipChange,
    applyOwnRevision,
    buildExchange,
    type ExchangeChange,
    type ExchangeState,
    importEntries,
    receiveExchange,
} from "../../../decisions/membership/exchangeState";
import { type Member, MemberCondition } from "../../../decisions/membership/member";
import {
    createMembershipState,
    leaveMembership,
    listRoster,
    setMemberCondition,
} from "../../../decisions/membership/membershipState";
import { refreshBudget } from "../../../decisions/membership/sendBudget";
import { TOPIC_POLICIES } from "../../../decisions/membership/topicPolicies";
import type { VmRecord } from "../../../model/endpoint";
import type { ExchangeUpdate } from "../../../nodes/nodeExchange";
import { decodeExchange, decodeSnapshot, type Entry, type MemberInfo } from "../../../nodes/nodeMessages";
import { type NodeAddress, NodeCall, type NodeTransport } from "../../../nodes/nodeTransport";
import { createReconnectScheduler } from "./createReconnectScheduler";
import { type MembershipMessage, MembershipMessageKind } from "./membershipMessage";
import { probeMember } from "./probeMember";
import { toAddressKey } from "./seeds";

/** Callbacks for what this node learns from other nodes. */
export interface MembershipProtocolHooks {
    onUpdate(update: ExchangeUpdate): void;
    onMemberChange(member: Member): void;
    /** Called when another node advertises a newer configuration revision than this node's. */
    onRevision(nodeId: string, revision: number): void;
}

/** Dependencies of the protocol. */
export interface MembershipProtocolOptions {
    readonly nodeId: string;
    readonly info: MemberInfo;
    readonly transport: NodeTransport;
    readonly clock: Clock;
    readonly random: Random;
    /** Queues a message to be handled by this protocol. */
    readonly send: (message: MembershipMessage) => void;
    readonly hooks: MembershipProtocolHooks;
}

/** The running protocol. */
export interface MembershipProtocol {
    handleMessage(message: MembershipMessage): void;
    readState(): ExchangeState;
    listNeighbourIds(): readonly string[];
    updateSeeds(vms: readonly VmRecord[]): void;
    /** Resolves once the exchanges that announce this node's leaving to its neighbours have ended. */
    waitUntilLeaveSent(): Promise<void>;
}

type Handlers = {
    readonly [Kind in MembershipMessageKind]: (message: Extract<MembershipMessage, { kind: Kind }>) => void;
};

/** Creates the protocol of a node that knows only itself. */
export function createMembershipProtocol(options: MembershipProtocolOptions): MembershipProtocol {
    const { nodeId, transport, clock, random, send, hooks } = options;
    const initial = createMembershipState(
        nodeId,
        options.info,
        Math.floor(clock.readWallMs()),
        clock.readMonotonicMs(),
    );
    let state: ExchangeState = applyMembershipChange(
        {
            membership: initial.state,
            pending: new Map(),
            budget: { bytes: SEND_BURST_BYTES, updatedAtMs: clock.readMonotonicMs() },
            revisions: new Map(),
            ownRevision: 0,
            differences: new Map(),
        },
        initial,
    );
    const reconnects = createReconnectScheduler(random, clock.readMonotonicMs());
    let neighbours: readonly Member[] = [];
    /** The members from which `neighbours` was computed. */
    let neighboursComputedFrom: ReadonlyMap<string, Member> | undefined;
    let nextNeighbourIndex = 0;
    /** Highest stamp of this node's own updates; each further update gets a higher one. */
    let lastStamp = 0;
    /** When this process last resumed after a pause. Failed probes that began earlier are ignored. */
    let resumedAtMs = 0;
    let isFlushQueued = false;
    let isForwardQueued = false;
    /** Nodes with an exchange in progress; true if another one must follow at once. */
    const openExchanges = new Map<string, boolean>();
    const probing = new Set<string>();
    let leaveSentListeners: (() => void)[] = [];
    let hasAnnouncedLeaving = false;
    const reportLeaveSent = () => {
        if (hasAnnouncedLeaving && openExchanges.size === 0) {
            leaveSentListeners.forEach(listener => listener());
            leaveSentListeners = [];
        }
    };

    const readTime = () => ({ nowMs: clock.readMonotonicMs(), wallMs: clock.readWallMs() });
    const listNeighbours = () => {
        if (neighboursComputedFrom !== state.membership.members) {
            neighboursComputedFrom = state.membership.members;
            const self = state.membership.members.get(nodeId);
            neighbours = self === undefined ? [] : chooseNeighbours(self, listRoster(state.membership));
        }
        return neighbours;
    };
    const queueFlush = () => {
        if (!isFlushQueued) {
            isFlushQueued = true;
            send({ kind: MembershipMessageKind.Flush });
        }
    };
    const reportNewEntries = (fresh: readonly Entry[]) => {
        for (const entry of fresh) {
            if (entry.topic === "member") {
                const member = state.membership.members.get(entry.origin);
                if (member !== undefined) {
                    hooks.onMemberChange(member);
                }
            } else if (entry.origin !== nodeId) {
                hooks.onUpdate({
                    topic: entry.topic,
                    fromNodeId: entry.origin,
                    key: entry.key,
                    payload: entry.payload,
                });
            } else {
                lastStamp = Math.max(lastStamp, entry.stamp);
            }
        }
        if (fresh.some(isUrgentEntry)) {
            queueFlush();
        }
    };
    const applyExchangeChange = (change: ExchangeChange) => {
        state = change.state;
        reportNewEntries(change.fresh);
    };
    const applyMembership = (change: Parameters<typeof applyMembershipChange>[1]) =>
        applyExchangeChange({ state: applyMembershipChange(state, change), fresh: change.fresh });

    const buildBody = (peerId: string): Uint8Array => {
        const built = buildExchange(state, peerId, clock.readMonotonicMs());
        state = built.state;
        return built.body;
    };
    const beginExchange = (peer: Member, isReconnect = false) => {
        if (openExchanges.has(peer.nodeId)) {
            openExchanges.set(peer.nodeId, true);
            return;
        }
        openExchanges.set(peer.nodeId, false);
        const startedAtMs = clock.readMonotonicMs();
        const callOptions = { timeoutMs: EXCHANGE_TIMEOUT_MS, isNewConnection: isReconnect };
        void transport.callNode(peer.info, NodeCall.Exchange, buildBody(peer.nodeId), callOptions).then(result =>
            send({
                kind: MembershipMessageKind.ExchangeEnded,
                nodeId: peer.nodeId,
                result,
                startedAtMs,
                isReconnect,
            }),
        );
    };
    const beginNextExchange = () => {
        const peers = listNeighbours();
        const peer = peers[nextNeighbourIndex++ % Math.max(1, peers.length)];
        if (peer !== undefined) {
            beginExchange(peer);
        }
    };
    /** Forwards newly learned applied revisions after a short delay instead of with the next periodic exchange. */
    const queueForwardRevisions = () => {
        if (!isForwardQueued) {
            isForwardQueued = true;
            void clock
                .waitMs(APPLIED_REVISIONS_DELAY_MS)
                .then(() => send({ kind: MembershipMessageKind.ForwardRevisions }));
        }
    };
    const receiveBody = (body: Uint8Array): string | undefined => {
        const message = decodeExchange(body);
        if (message.isErr()) {
            return undefined;
        }
        const { revisions } = state;
        applyExchangeChange(receiveExchange(state, message.value, readTime()));
        if (state.revisions !== revisions) {
            queueForwardRevisions();
        }
        if (message.value.revision > state.ownRevision) {
            hooks.onRevision(message.value.fromNodeId, message.value.revision);
        }
        return message.value.fromNodeId;
    };
    const beginProbe = (target: Member) => {
        if (probing.has(target.nodeId) || target.condition >= MemberCondition.Dead) {
            return;
        }
        probing.add(target.nodeId);
        const startedAtMs = clock.readMonotonicMs();
        const helpers = chooseHelpers(target, listRoster(state.membership), nodeId, random);
        const address = { ...target.info, nodeId: target.nodeId };
        void probeMember(
            transport,
            nodeId,
            address,
            helpers.map(helper => helper.info),
        ).then(isReached =>
            send({ kind: MembershipMessageKind.ProbeEnded, nodeId: target.nodeId, isReached, startedAtMs }),
        );
    };
    const readSnapshot = async (seed: NodeAddress) => {
        const answer = await transport.callNode(seed, NodeCall.ReadSnapshot, new Uint8Array(), {
            timeoutMs: EXCHANGE_TIMEOUT_MS * 2,
        });
        const entries = answer.andThen(decodeSnapshot);
        if (entries.isOk()) {
            send({ kind: MembershipMessageKind.Snapshot, entries: entries.value, seed });
        }
    };
    /** Contacts a node that is out of reach, or one that the platform lists but this node does not know. */
    const reconnect = () => {
        const { member, seed } = reconnects.chooseNextTarget(state.membership, clock.readMonotonicMs());
        if (member !== undefined) {
            beginExchange(member, true);
        } else if (seed !== undefined) {
            void readSnapshot(seed);
        }
    };

    const handlers: Handlers = {
        [MembershipMessageKind.Tick]: () => {
            const { nowMs, wallMs } = readTime();
            resumedAtMs = nowMs - state.membership.tickedAtMs > OWN_PAUSE_THRESHOLD_MS ? nowMs : resumedAtMs;
            const goneNodeIds = reconnects.findGoneNodeIds(state.membership);
            applyMembership(advanceMembership(state.membership, { nowMs, wallMs, goneNodeIds }));
            beginNextExchange();
            reconnect();
        },
        [MembershipMessageKind.ExchangeReceived]: ({ body, reply }) => {
            const fromNodeId = receiveBody(body);
            reply(fromNodeId === undefined ? new Uint8Array() : buildBody(fromNodeId));
        },
        [MembershipMessageKind.ExchangeEnded]: ({ nodeId: peerId, result, isReconnect }) => {
            const isFollowUpRequested = openExchanges.get(peerId) === true;
            openExchanges.delete(peerId);
            const peer = state.membership.members.get(peerId);
            const answeredBy = result.isOk() ? receiveBody(result.value) : undefined;
            if (peer === undefined) {
                return;
            }
            if (answeredBy !== peerId && !isReconnect) {
                beginProbe(peer);
            }
            const { bytes } = refreshBudget(state.budget, clock.readMonotonicMs());
            const difference = state.differences.get(peerId);
            const hasDifference = difference?.group !== undefined || (difference?.owed.length ?? 0) > 0;
            if (answeredBy === peerId && (isFollowUpRequested || hasDifference) && bytes > FOLLOW_UP_RESERVE_BYTES) {
                beginExchange(peer, isReconnect);
            }
            reportLeaveSent();
        },
        [MembershipMessageKind.ProbeEnded]: ({ nodeId: targetId, isReached, startedAtMs }) => {
            probing.delete(targetId);
            if (!isReached && startedAtMs >= resumedAtMs) {
                applyMembership(
                    setMemberCondition(state.membership, targetId, MemberCondition.Suspect, clock.readMonotonicMs()),
                );
            }
        },
        [MembershipMessageKind.Snapshot]: ({ entries, seed }) => {
            applyExchangeChange(importEntries(state, entries, readTime()));
            reconnects.recordSnapshot(seed, clock.readMonotonicMs());
            const sender = listRoster(state.membership).find(
                member => toAddressKey(member.info) === toAddressKey(seed),
            );
            if (sender !== undefined) {
                beginExchange(sender);
            }
        },
        [MembershipMessageKind.Publish]: ({ topic, key, payload }) => {
            lastStamp = Math.max(lastStamp + 1, Math.floor(clock.readWallMs()));
            const entry = { topic, origin: nodeId, key, stamp: lastStamp, payload };
            applyExchangeChange(importEntries(state, [entry], readTime()));
        },
        [MembershipMessageKind.Revision]: ({ revision }) => {
            state = applyOwnRevision(state, revision);
            queueFlush();
        },
        [MembershipMessageKind.Flush]: () => {
            isFlushQueued = false;
            const { bytes } = refreshBudget(state.budget, clock.readMonotonicMs());
            const affordable = Math.max(0, Math.floor(bytes / MESSAGE_BASE_BYTES));
            [...new Set(listNeighbours())].slice(0, affordable).forEach(peer => beginExchange(peer));
            hasAnnouncedLeaving = state.membership.isLeaving;
            reportLeaveSent();
        },
        [MembershipMessageKind.ForwardRevisions]: () => {
            isForwardQueued = false;
            const { bytes } = refreshBudget(state.budget, clock.readMonotonicMs());
            if (bytes > FOLLOW_UP_RESERVE_BYTES) {
                beginNextExchange();
            }
        },
        [MembershipMessageKind.Leave]: () =>
            applyMembership(leaveMembership(state.membership, clock.readMonotonicMs())),
    };
    return {
        handleMessage: message => (handlers[message.kind] as (message: MembershipMessage) => void)(message),
        readState: () => state,
        listNeighbourIds: () => listNeighbours().map(member => member.nodeId),
        updateSeeds: reconnects.updateSeeds,
        waitUntilLeaveSent: () => new Promise(resolve => leaveSentListeners.push(resolve)),
    };
}

function isUrgentEntry(entry: Entry): boolean {
    // The stamp of a member entry is `incarnation * 4 + condition`.
    const isLeft = entry.topic === "member" && entry.stamp % 4 === Number(MemberCondition.Left);
    return isLeft || TOPIC_POLICIES[entry.topic].isUrgent;
}

/** Chooses helpers for indirect probes, evenly spaced over the roster from a random start. */
function chooseHelpers(target: Member, roster: readonly Member[], selfId: string, random: Random): readonly Member[] {
    const candidates = roster.filter(
        member =>
            member.nodeId !== selfId && member.nodeId !== target.nodeId && member.condition === MemberCondition.Alive,
    );
    const first = random.drawInteger(0, Math.max(0, candidates.length - 1));
    const step = Math.max(1, Math.floor(candidates.length / INDIRECT_PROBES));
    const chosen = Array.from(
        { length: INDIRECT_PROBES },
        (_unused, index) => candidates[(first + index * step) % candidates.length],
    );
    return [...new Set(chosen)].filter(member => member !== undefined);
}
