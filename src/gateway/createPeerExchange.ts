/**
 * @module Datagrams between nodes about the amounts charged to accounts and the load on services.
 *
 * Totals are cumulative, so the next datagram makes up for a lost one. Nothing requires that datagrams arrive:
 * without them, quotas are divided equally between the nodes, and loads come from what the store shows.
 */
import dgram from "node:dgram";
import { z } from "zod";
import { parseAnswer } from "../adapters/_lib/parseAnswer";
import type { Clock } from "../base/clock";
import type { Disposable } from "../base/disposableStore";
import type { DumpSource } from "../base/dump";
import type { Log } from "../base/log/log";
import type { AccountQuotas, PeerView } from "../decisions/gateway/accountQuotas";
import type { Membership } from "./createMembership";
import type { ServiceLoad } from "./createDemandMeter";
import type { ClusterTime } from "./createClusterTime";
import type { UsageLedger } from "./createUsageLedger";
import { USAGE_COUNTS_SCHEMA, type UsageCounts, type UsageMeter } from "./createUsageMeter";

const SEND_PERIOD_MS = 200;
/** A peer from which no datagram has arrived for this long counts as disconnected. */
const PEER_TIMEOUT_MS = 500;
/** Number of usage windows in a message, the newest ones. */
const WINDOWS_PER_MESSAGE = 2;
/** Least number of nodes that is assumed until the members are loaded. */
const ASSUMED_NODES_MIN = 16;
/** Time for which the load that a peer reported is used, and messages are still sent to it. */
const PEER_LOAD_TTL_MS = 2_000;

/** The periodic message of a node. */
interface PeerMessage {
    readonly node: string;
    /** Incarnation: identifies one start of the sender's process. */
    readonly life: string;
    /** Cluster time at which it was sent. */
    readonly atMs: number;
    /** True if all nodes that reach the store count the sender as a member. */
    readonly isCounted: boolean;
    /** Amounts by account that all nodes charged in the last quota window, as far as the sender knows. */
    readonly used: Readonly<Record<string, number>>;
    /** For how long the sender has been counting these amounts, in milliseconds. */
    readonly countsForMs: number;
    /** Amounts by account that the sender has charged since its start. */
    readonly totals: Readonly<Record<string, number>>;
    /** The load that the sender puts on each service. */
    readonly loads: Readonly<Record<string, ServiceLoad>>;
    /** The sender's usage counts of the newest windows, by window number and account. */
    readonly windows: Readonly<Record<string, UsageCounts>>;
}

const MESSAGE_SCHEMA = z.object({
    node: z.string(),
    life: z.string(),
    atMs: z.number(),
    isCounted: z.boolean(),
    used: z.record(z.string(), z.number()),
    countsForMs: z.number(),
    totals: z.record(z.string(), z.number()),
    loads: z.record(z.string(), z.object({ tokensPerSecond: z.number(), inFlight: z.number() })),
    windows: z.record(z.string(), USAGE_COUNTS_SCHEMA),
});

/** A long prompt that was just sent to an endpoint; a datagram of its own. */
export interface AnnouncedPrompt {
    readonly endpointId: string;
    /** Uncached tokens, which the endpoint has to read. */
    readonly tokens: number;
}

const PROMPT_SCHEMA = z.object({ endpointId: z.string(), tokens: z.number().nonnegative() });
const DATAGRAM_SCHEMA = z.union([PROMPT_SCHEMA, MESSAGE_SCHEMA]);

/** Another node, as described by its last message. */
interface Peer extends Omit<PeerMessage, "atMs" | "windows"> {
    /** Monotonic time at which the message arrived. */
    readonly heardAtMs: number;
    readonly address: string;
    readonly port: number;
}

/** Identity of this node, and the dependencies of the exchange. */
export interface PeerExchangeOptions {
    readonly node: string;
    readonly address: string;
    readonly port: number;
    readonly membership: Membership;
    readonly quotas: AccountQuotas;
    readonly ledger: UsageLedger;
    readonly usage: UsageMeter;
    readonly clusterTime: ClusterTime;
    /** Called for each prompt that a peer announces. */
    readonly handlePrompt: (prompt: AnnouncedPrompt) => void;
    /** Gives the load that this node puts on each service. */
    readonly readLoads: () => Readonly<Record<string, ServiceLoad>>;
    readonly clock: Clock;
    readonly log: Log;
}

/** Exchange of messages with the other nodes. */
export interface PeerExchange extends Disposable, DumpSource {
    /** True once the list of members was read from the store. */
    isMembershipLoaded(): boolean;
    /** Gives what the quotas need to know of the other nodes. */
    readView(): PeerView;
    /** Announces a prompt to the peers at once, since it delays other requests at its endpoint. */
    announcePrompt(prompt: AnnouncedPrompt): void;
    /** Lists the loads on a service by this node and by all peers that reported one recently. */
    listLoads(service: string): readonly ServiceLoad[];
}

/**
 * Starts the exchange.
 *
 * @param options - Identity of this node, and dependencies
 * @returns The exchange
 * @example
 * quotas.charge(account, tokens, peers.readView(), nowMs);
 */
export function createPeerExchange(options: PeerExchangeOptions): PeerExchange {
    const { membership, quotas, clock, log } = options;
    const peers = new Map<string, Peer>();
    const socket = dgram.createSocket("udp4");

    const handleDatagram = (bytes: Buffer, { address, port }: dgram.RemoteInfo) => {
        const datagram = parseAnswer(bytes, DATAGRAM_SCHEMA);
        if (datagram === undefined) {
            return;
        }
        if ("endpointId" in datagram) {
            options.handlePrompt(datagram);
        } else if (datagram.node !== options.node) {
            recordMessage(datagram, address, port);
        }
    };
    const recordMessage = (message: PeerMessage, address: string, port: number) => {
        const nowMs = clock.readMonotonicMs();
        options.ledger.recordUsage(message);
        const previous = peers.get(message.node);
        const previousTotals = previous?.life === message.life ? previous.totals : {};
        for (const [account, total] of Object.entries(message.totals)) {
            const added = total - (previousTotals[account] ?? 0);
            if (added !== 0 && previous !== undefined) {
                quotas.recordPeerUsage(message.node, account, added, nowMs);
            }
        }
        peers.set(message.node, { ...message, heardAtMs: nowMs, address, port });
    };
    const listRecentPeers = (withinMs: number) =>
        [...peers.values()].filter(peer => clock.readMonotonicMs() - peer.heardAtMs < withinMs);
    const readView = (): PeerView => {
        const heard = listRecentPeers(PEER_TIMEOUT_MS);
        const names = new Set([...membership.listOthers(), ...heard].map(({ node }) => node));
        const nodes = membership.isLoaded() ? names.size + 1 : Math.max(names.size + 1, ASSUMED_NODES_MIN);
        const hasMajority = (heard.length + 1) * 2 > nodes;
        const isCounted = membership.isCounted() || heard.some(peer => peer.isCounted) || hasMajority;
        return { nodes, heard, isCounted };
    };
    /** Lists the receivers: the members, and peers that are not in the list of members yet. */
    const listTargets = () => {
        const targets = [...listRecentPeers(PEER_LOAD_TTL_MS), ...membership.listOthers()];
        return new Map(targets.map(target => [`${target.address}:${target.port}`, target])).values();
    };
    const sendToAll = (bytes: Buffer) => {
        for (const { address, port } of listTargets()) {
            socket.send(bytes, port, address);
        }
    };
    const broadcastMessage = () => {
        const message: PeerMessage = {
            node: options.node,
            life: membership.life,
            atMs: Math.round(options.clusterTime.readClusterMs()),
            isCounted: membership.isCounted(),
            ...quotas.describeCounts(clock.readMonotonicMs()),
            totals: Object.fromEntries([...quotas.readTotals()].map(([name, total]) => [name, Math.round(total)])),
            loads: options.readLoads(),
            windows: options.usage.readWindows(WINDOWS_PER_MESSAGE),
        };
        sendToAll(Buffer.from(JSON.stringify(message)));
    };
    socket.on("message", handleDatagram);
    socket.on("error", error => log.warn("datagram socket failed", { reason: error.message }));
    socket.bind(options.port, options.address);
    const timer = setInterval(broadcastMessage, SEND_PERIOD_MS);
    return {
        name: "peers",
        dumpState: () => ({
            ...readView(),
            members: membership.listOthers().map(({ node, life, atMs }) => ({ node, life, atMs })),
            own: quotas.describeCounts(clock.readMonotonicMs()),
        }),
        isMembershipLoaded: membership.isLoaded,
        readView,
        announcePrompt: prompt => sendToAll(Buffer.from(JSON.stringify(prompt))),
        listLoads: service =>
            [options.readLoads(), ...listRecentPeers(PEER_LOAD_TTL_MS).map(peer => peer.loads)].flatMap(
                loads => loads[service] ?? [],
            ),
        dispose: () => {
            clearInterval(timer);
            socket.close();
        },
    };
}
