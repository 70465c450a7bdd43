/**
 * @module Datagrams of the news between nodes. Lists stand for objects and numbers are whole, since every byte is sent
 * several times a second.
 */
import { z } from "zod";
import { parseAnswer } from "../../adapters/_lib/parseAnswer";
import type {
    DomainSummary,
    EndpointActivity,
    FleetView,
    NewsSums,
    NodeIdentity,
    NodeReport,
} from "../../decisions/relays/news";
import { decodeLimits, encodeLimits } from "../endpoints/limitsCodec";
import { decodeRollouts, encodeRollouts } from "../rollouts/rolloutsCodec";
import { decodeSuspects, encodeSuspects } from "../quarantine/suspectsCodec";

/** Kinds of datagrams. */
export enum NewsKind {
    /** From a node to a relay of its failure domain. */
    Report = "r",
    /** From a relay to the relays of all failure domains. */
    Summary = "s",
    /** From a relay to the nodes of its failure domain. */
    View = "v",
    /** From a relay to the nodes of its failure domain: which nodes it counts. */
    Members = "m",
}

/** A node's report, with the wish for views in return. */
export interface ReportMessage {
    readonly kind: NewsKind.Report;
    /** True if the receiver is the sender's first choice and sends it views. */
    readonly wantsViews: boolean;
    readonly report: NodeReport;
}

/** The sums of one failure domain. */
export interface SummaryMessage {
    readonly kind: NewsKind.Summary;
    readonly summary: DomainSummary;
}

/** What is known of all nodes. */
export interface ViewMessage {
    readonly kind: NewsKind.View;
    readonly relay: string;
    readonly view: FleetView;
}

/** The nodes that a relay counts. */
export interface MembersMessage {
    readonly kind: NewsKind.Members;
    readonly relay: string;
    readonly members: readonly NodeIdentity[];
}

/** Any datagram. */
export type NewsMessage = ReportMessage | SummaryMessage | ViewMessage | MembersMessage;

/** Address from which a datagram came; it need not be sent. */
export type SenderAddress = Pick<NodeIdentity, "address" | "port">;

const COUNT = z.number().nonnegative();
const NUMBERS = z.record(z.string(), COUNT);
const SUMS = z
    .tuple([
        COUNT,
        z.record(z.string(), z.tuple([COUNT, COUNT, COUNT])),
        z.record(z.string(), z.tuple([COUNT, COUNT])),
        z.record(z.string(), z.tuple([COUNT, COUNT])),
    ])
    // Evidence on prompt parts, on versions and on limits, and the arrivals, if any. It is decoded leniently: a fault in it must not cost the rest.
    .rest(z.unknown())
    .transform(([countsForMs, usage, loads, endpoints, suspects, rollouts, limits, arrivals]): NewsSums => ({
        countsForMs,
        usage: convertRecord(usage, ([used, recent, asked]) => ({ used, recent, asked })),
        loads: convertRecord(loads, ([tokensPerSecond, inFlight]) => ({ tokensPerSecond, inFlight })),
        endpoints: convertRecord(endpoints, ([inFlight, pendingTokens]) => ({ inFlight, pendingTokens })),
        suspects: decodeSuspects(suspects),
        rollouts: decodeRollouts(rollouts),
        limits: decodeLimits(limits),
        ...decodeArrivals(arrivals),
    }));
const SENDER = z.tuple([z.string(), z.string(), z.string(), z.number().positive()]);
const COUNTED = z.tuple([z.number(), z.record(z.string(), NUMBERS)]);
const MEMBER = z.tuple([z.string(), z.string(), z.string(), z.number(), z.number().positive()]);
const DATAGRAM = z.union([
    z.tuple([z.literal(NewsKind.Report), SENDER, z.number(), z.boolean(), SUMS, z.array(COUNTED).max(1)]),
    z.tuple([z.literal(NewsKind.Summary), SENDER, z.number(), z.tuple([COUNT, COUNT]), SUMS, NUMBERS, NUMBERS]),
    z.tuple([z.literal(NewsKind.View), z.string(), z.tuple([COUNT, COUNT]), SUMS, NUMBERS, NUMBERS]),
    z.tuple([z.literal(NewsKind.Members), z.string(), z.string(), z.array(MEMBER)]),
]);

/**
 * Encodes a message.
 *
 * @param message - The message
 * @returns The datagram
 * @example
 * socket.send(encodeNews({ kind: NewsKind.Report, wantsViews: true, report }), port, address);
 */
export function encodeNews(message: NewsMessage): Buffer {
    return Buffer.from(JSON.stringify(buildDatagram(message)));
}

/**
 * Decodes a datagram.
 *
 * @param bytes - The datagram
 * @param address - Where it came from
 * @returns The message; `undefined` if it is malformed
 * @example
 * socket.on("message", (bytes, from) => handleNews(decodeNews(bytes, from)));
 */
export function decodeNews(bytes: Buffer, address: SenderAddress): NewsMessage | undefined {
    const datagram = parseAnswer(bytes, DATAGRAM);
    if (datagram === undefined) {
        return undefined;
    }
    switch (datagram[0]) {
        case NewsKind.Report: {
            const [kind, sender, sequence, wantsViews, sums, counted] = datagram;
            const report = {
                ...sums,
                ...buildIdentity(sender, address),
                sequence,
                counted: counted.map(([atMs, windows]) => ({ atMs, windows }))[0],
            };
            return { kind, wantsViews, report };
        }
        case NewsKind.Summary: {
            const [kind, sender, sequence, [nodes, reachable], sums, silentUsage, lostUsage] = datagram;
            const relay = buildIdentity(sender, address);
            return { kind, summary: { ...sums, relay, sequence, nodes, reachable, silentUsage, lostUsage } };
        }
        case NewsKind.View: {
            const [kind, relay, [nodes, reachable], sums, silentUsage, lostUsage] = datagram;
            return { kind, relay, view: { ...sums, nodes, reachable, silentUsage, lostUsage } };
        }
        case NewsKind.Members: {
            const [kind, relay, failureDomain, list] = datagram;
            const members = list.map(([node, life, memberAddress, port, capacity]) => ({
                node,
                life,
                failureDomain,
                address: memberAddress,
                port,
                capacity,
            }));
            return { kind, relay, members };
        }
    }
}

function buildDatagram(message: NewsMessage): z.input<typeof DATAGRAM> {
    switch (message.kind) {
        case NewsKind.Report: {
            const { report } = message;
            const counted = [report.counted ?? []].flat();
            const counts = counted.map(({ atMs, windows }): z.input<typeof COUNTED> => [
                atMs,
                convertRecord(windows, values => ({ ...values })),
            ]);
            return [message.kind, listSender(report), report.sequence, message.wantsViews, listSums(report), counts];
        }
        case NewsKind.Summary: {
            const { summary } = message;
            const counts: [number, number] = [summary.nodes, summary.reachable];
            const sender = listSender(summary.relay);
            return [
                message.kind,
                sender,
                summary.sequence,
                counts,
                listSums(summary),
                { ...summary.silentUsage },
                { ...summary.lostUsage },
            ];
        }
        case NewsKind.View: {
            const { view } = message;
            return [
                message.kind,
                message.relay,
                [view.nodes, view.reachable],
                listSums(view),
                { ...view.silentUsage },
                { ...view.lostUsage },
            ];
        }
        case NewsKind.Members: {
            const { members } = message;
            const list = members.map(({ node, life, address, port, capacity }): z.input<typeof MEMBER> => [
                node,
                life,
                address,
                port,
                capacity,
            ]);
            return [message.kind, message.relay, members[0]?.failureDomain ?? "", list];
        }
    }
}

function listSender({ node, life, failureDomain, capacity }: NodeIdentity): z.input<typeof SENDER> {
    return [node, life, failureDomain, capacity];
}

function buildIdentity(
    [node, life, failureDomain, capacity]: z.output<typeof SENDER>,
    address: SenderAddress,
): NodeIdentity {
    return { node, life, failureDomain, capacity, address: address.address, port: address.port };
}

function listSums(sums: NewsSums): z.input<typeof SUMS> {
    const { countsForMs, usage, loads, endpoints, suspects, rollouts, limits, arrivals = {} } = sums;
    const evidence = [encodeSuspects(suspects), encodeRollouts(rollouts), encodeLimits(limits), arrivals];
    const isEmpty = [suspects, rollouts, limits, arrivals].map(record => Object.keys(record).length === 0);
    return [
        Math.round(countsForMs),
        convertRecord(usage, ({ used, recent, asked }): [number, number, number] => [used, recent, asked]),
        convertRecord(loads, ({ tokensPerSecond, inFlight }): [number, number] => [tokensPerSecond, inFlight]),
        convertRecord(endpoints, listActivity),
        ...evidence.slice(0, isEmpty.lastIndexOf(false) + 1),
    ];
}

/** Decodes the arrivals by service. Nodes of former versions send none. */
function decodeArrivals(value: unknown): Pick<NewsSums, "arrivals"> {
    const { data } = NUMBERS.safeParse(value);
    return data === undefined ? {} : { arrivals: data };
}

function listActivity({ inFlight, pendingTokens }: EndpointActivity): [number, number] {
    return [inFlight, Math.round(pendingTokens)];
}

function convertRecord<T, U>(record: Readonly<Record<string, T>>, map: (value: T) => U): Record<string, U> {
    return Object.fromEntries(Object.entries(record).map(([key, value]) => [key, map(value)]));
}
