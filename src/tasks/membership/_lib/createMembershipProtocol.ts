/**
 * @module The owner of the exchange's state: handles one message of the membership task after the other.
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
    OWN_PAUSE_MS,
    SENT_BURST_BYTES,
    SPREAD_DELAY_MS,
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
    setCondition,
} from "../../../decisions/membership/membershipState";
import { refreshBudget } from "../../../decisions/membership/sendBudget";
import { TOPIC_POLICIES } from "../../../decisions/membership/topicPolicies";
import type { VmRecord } from "../../../model/endpoint";
import type { ExchangeUpdate } from "../../../nodes/nodeExchange";
import { decodeExchange, decodeSnapshot, type Entry, type MemberInfo } from "../../../nodes/nodeMessages";
import { type NodeAddress, NodeCall, type NodeTransport } from "../../../nodes/nodeTransport";
import { createReconnector } from "./createReconnector";
import { type Message, MessageKind } from "./messages";
import { probeMember } from "./probeMember";
import { toAddressKey } from "./seeds";

/** Called when something is news. */
export interface ExchangerHooks {
    onUpdate(update: ExchangeUpdate): void;
    onMember(member: Member): void;
    /** Another node shows this configuration revision. */
    onRevision(nodeId: string, revision: number): void;
}

/** What the exchanger needs. */
export interface ExchangerOptions {
    readonly nodeId: string;
    readonly info: MemberInfo;
    readonly transport: NodeTransport;
    readonly clock: Clock;
    readonly random: Random;
    /** Sends a message to the owner itself. */
    readonly send: (message: Message) => void;
    readonly hooks: ExchangerHooks;
}

/** The owner of the exchange's state. */
export interface Exchanger {
    handleMessage(message: Message): void;
    readState(): ExchangeState;
    listNeighbourIds(): readonly string[];
    updateSeeds(vms: readonly VmRecord[]): void;
    /** Resolves once this node's neighbours have been told that it leaves. */
    waitUntilTold(): Promise<void>;
}

type Handlers = { readonly [Kind in MessageKind]: (message: Extract<Message, { kind: Kind }>) => void };

/** Creates the owner of a node that knows only itself. */
export function createExchanger(options: ExchangerOptions): Exchanger {
    const { nodeId, transport, clock, random, send, hooks } = options;
    const start = createMembershipState(nodeId, options.info, Math.floor(clock.readWallMs()), clock.readMonotonicMs());
    let state: ExchangeState = applyMembershipChange(
        {
            membership: start.state,
            pending: new Map(),
            budget: { bytes: SENT_BURST_BYTES, updatedAtMs: clock.readMonotonicMs() },
            revisions: new Map(),
            ownRevision: 0,
            differences: new Map(),
        },
        start,
    );
    const reconnector = createReconnector(random, clock.readMonotonicMs());
    let neighbours: readonly Member[] = [];
    let neighboursOf: ReadonlyMap<string, Member> | undefined;
    let turn = 0;
    let lastStamp = 0;
    let wokeAtMs = 0;
    let isFlushQueued = false;
    let isSpreadQueued = false;
    /** Nodes with an exchange on its way; true if another one must follow at once. */
    const open = new Map<string, boolean>();
    const probing = new Set<string>();
    let toldListeners: (() => void)[] = [];
    let hasToldLeaving = false;
    const reportTold = () => {
        if (hasToldLeaving && open.size === 0) {
            toldListeners.forEach(listener => listener());
            toldListeners = [];
        }
    };

    const readTime = () => ({ nowMs: clock.readMonotonicMs(), wallMs: clock.readWallMs() });
    const listNeighbours = () => {
        if (neighboursOf !== state.membership.members) {
            neighboursOf = state.membership.members;
            const self = state.membership.members.get(nodeId);
            neighbours = self === undefined ? [] : chooseNeighbours(self, listRoster(state.membership));
        }
        return neighbours;
    };
    const queueFlush = () => {
        if (!isFlushQueued) {
            isFlushQueued = true;
            send({ kind: MessageKind.Flush });
        }
    };
    const reportFresh = (fresh: readonly Entry[]) => {
        for (const entry of fresh) {
            if (entry.topic === "member") {
                const member = state.membership.members.get(entry.origin);
                if (member !== undefined) {
                    hooks.onMember(member);
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
    const setChange = (change: ExchangeChange) => {
        state = change.state;
        reportFresh(change.fresh);
    };
    const setMembership = (change: Parameters<typeof applyMembershipChange>[1]) =>
        setChange({ state: applyMembershipChange(state, change), fresh: change.fresh });

    const buildBody = (peerId: string): Uint8Array => {
        const built = buildExchange(state, peerId, clock.readMonotonicMs());
        state = built.state;
        return built.body;
    };
    const beginExchange = (peer: Member, isReconnect = false) => {
        if (open.has(peer.nodeId)) {
            open.set(peer.nodeId, true);
            return;
        }
        open.set(peer.nodeId, false);
        const startedAtMs = clock.readMonotonicMs();
        const callOptions = { timeoutMs: EXCHANGE_TIMEOUT_MS, isNewConnection: isReconnect };
        void transport
            .callNode(peer.info, NodeCall.Exchange, buildBody(peer.nodeId), callOptions)
            .then(result =>
                send({ kind: MessageKind.ExchangeEnded, nodeId: peer.nodeId, result, startedAtMs, isReconnect }),
            );
    };
    const beginTurn = () => {
        const peers = listNeighbours();
        const peer = peers[turn++ % Math.max(1, peers.length)];
        if (peer !== undefined) {
            beginExchange(peer);
        }
    };
    /** Passes on soon what was learned of who has applied a revision, instead of with the next turn. */
    const queueSpread = () => {
        if (!isSpreadQueued) {
            isSpreadQueued = true;
            void clock.waitMs(SPREAD_DELAY_MS).then(() => send({ kind: MessageKind.Spread }));
        }
    };
    const takeInBody = (body: Uint8Array): string | undefined => {
        const message = decodeExchange(body);
        if (message.isErr()) {
            return undefined;
        }
        const { revisions } = state;
        setChange(receiveExchange(state, message.value, readTime()));
        if (state.revisions !== revisions) {
            queueSpread();
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
        ).then(isReached => send({ kind: MessageKind.ProbeEnded, nodeId: target.nodeId, isReached, startedAtMs }));
    };
    const readSnapshot = async (seed: NodeAddress) => {
        const answer = await transport.callNode(seed, NodeCall.ReadSnapshot, new Uint8Array(), {
            timeoutMs: EXCHANGE_TIMEOUT_MS * 2,
        });
        const entries = answer.andThen(decodeSnapshot);
        if (entries.isOk()) {
            send({ kind: MessageKind.Snapshot, entries: entries.value, seed });
        }
    };
    /** Tries a node that is out of reach, or one of the platform's list that is not known. */
    const reconnect = () => {
        const { member, seed } = reconnector.chooseNext(state.membership, clock.readMonotonicMs());
        if (member !== undefined) {
            beginExchange(member, true);
        } else if (seed !== undefined) {
            void readSnapshot(seed);
        }
    };

    const handlers: Handlers = {
        [MessageKind.Tick]: () => {
            const { nowMs, wallMs } = readTime();
            wokeAtMs = nowMs - state.membership.tickedAtMs > OWN_PAUSE_MS ? nowMs : wokeAtMs;
            const goneNodeIds = reconnector.findGoneNodeIds(state.membership);
            setMembership(advanceMembership(state.membership, { nowMs, wallMs, goneNodeIds }));
            beginTurn();
            reconnect();
        },
        [MessageKind.ExchangeReceived]: ({ body, reply }) => {
            const fromNodeId = takeInBody(body);
            reply(fromNodeId === undefined ? new Uint8Array() : buildBody(fromNodeId));
        },
        [MessageKind.ExchangeEnded]: ({ nodeId: peerId, result, isReconnect }) => {
            const mustFollow = open.get(peerId) === true;
            open.delete(peerId);
            const peer = state.membership.members.get(peerId);
            const answeredBy = result.isOk() ? takeInBody(result.value) : undefined;
            if (peer === undefined) {
                return;
            }
            if (answeredBy !== peerId && !isReconnect) {
                beginProbe(peer);
            }
            const { bytes } = refreshBudget(state.budget, clock.readMonotonicMs());
            const difference = state.differences.get(peerId);
            const hasDifference = difference?.group !== undefined || (difference?.owed.length ?? 0) > 0;
            if (answeredBy === peerId && (mustFollow || hasDifference) && bytes > FOLLOW_UP_RESERVE_BYTES) {
                beginExchange(peer, isReconnect);
            }
            reportTold();
        },
        [MessageKind.ProbeEnded]: ({ nodeId: targetId, isReached, startedAtMs }) => {
            probing.delete(targetId);
            if (!isReached && startedAtMs >= wokeAtMs) {
                setMembership(
                    setCondition(state.membership, targetId, MemberCondition.Suspect, clock.readMonotonicMs()),
                );
            }
        },
        [MessageKind.Snapshot]: ({ entries, seed }) => {
            setChange(importEntries(state, entries, readTime()));
            reconnector.recordAnswer(seed, clock.readMonotonicMs());
            const giver = listRoster(state.membership).find(member => toAddressKey(member.info) === toAddressKey(seed));
            if (giver !== undefined) {
                beginExchange(giver);
            }
        },
        [MessageKind.Publish]: ({ topic, key, payload }) => {
            lastStamp = Math.max(lastStamp + 1, Math.floor(clock.readWallMs()));
            const entry = { topic, origin: nodeId, key, stamp: lastStamp, payload };
            setChange(importEntries(state, [entry], readTime()));
        },
        [MessageKind.Revision]: ({ revision }) => {
            state = applyOwnRevision(state, revision);
            queueFlush();
        },
        [MessageKind.Flush]: () => {
            isFlushQueued = false;
            const { bytes } = refreshBudget(state.budget, clock.readMonotonicMs());
            const affordable = Math.max(0, Math.floor(bytes / MESSAGE_BASE_BYTES));
            [...new Set(listNeighbours())].slice(0, affordable).forEach(peer => beginExchange(peer));
            hasToldLeaving = state.membership.isLeaving;
            reportTold();
        },
        [MessageKind.Spread]: () => {
            isSpreadQueued = false;
            const { bytes } = refreshBudget(state.budget, clock.readMonotonicMs());
            if (bytes > FOLLOW_UP_RESERVE_BYTES) {
                beginTurn();
            }
        },
        [MessageKind.Leave]: () => setMembership(leaveMembership(state.membership, clock.readMonotonicMs())),
    };
    return {
        handleMessage: message => (handlers[message.kind] as (message: Message) => void)(message),
        readState: () => state,
        listNeighbourIds: () => listNeighbours().map(member => member.nodeId),
        updateSeeds: reconnector.updateSeeds,
        waitUntilTold: () => new Promise(resolve => toldListeners.push(resolve)),
    };
}

function isUrgentEntry(entry: Entry): boolean {
    const isLeft = entry.topic === "member" && entry.stamp % 4 === Number(MemberCondition.Left);
    return isLeft || TOPIC_POLICIES[entry.topic].isUrgent;
}

/** Chooses helpers at random, spread over the roster. */
function chooseHelpers(target: Member, roster: readonly Member[], selfId: string, random: Random): readonly Member[] {
    const usable = roster.filter(
        member =>
            member.nodeId !== selfId && member.nodeId !== target.nodeId && member.condition === MemberCondition.Alive,
    );
    const first = random.drawInteger(0, Math.max(0, usable.length - 1));
    const step = Math.max(1, Math.floor(usable.length / INDIRECT_PROBES));
    const picked = Array.from(
        { length: INDIRECT_PROBES },
        (_unused, index) => usable[(first + index * step) % usable.length],
    );
    return [...new Set(picked)].filter(member => member !== undefined);
}
