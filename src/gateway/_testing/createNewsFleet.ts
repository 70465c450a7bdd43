/**
 * @module Runs the news of many nodes in one process on simulated time, over a network that loses, repeats and reorders.
 */
import dgram from "node:dgram";
import { mock } from "node:test";
import { createRandom } from "../../base/createRandom";
import { createLog } from "../../base/log/createLog";
import { advanceSuspects, mergeSuspects } from "../../decisions/relays/mergeSuspects";
import type { NodeIdentity, SuspectParts } from "../../decisions/relays/news";
import { createFleetNews, type FleetNews } from "../news/createFleetNews";

/** Time between two looks of a relay into the store's rows, and between two lists if it hears all failure domains. */
const LOOK_PERIOD_MS = 125;
const LIST_PERIOD_MS = { lost: 5_000, usual: 25_000 };
const DELAY_MAX_MS = 60;
const ADDRESS = "127.0.0.1";

/** Size of the fleet, and the faults of its network. */
export interface NewsFleetOptions {
    readonly nodes: number;
    readonly failureDomains: number;
    readonly seed: number;
    /** Share of datagrams that are lost; default: 0. As many are sent twice. */
    readonly lostShare?: number;
}

/** A node of the fleet; a restart makes a new one. */
export interface FleetNode {
    readonly identity: NodeIdentity;
    readonly news: FleetNews;
    /** What it knows, as of `knownAtMs`. */
    known: SuspectParts;
    knownAtMs: number;
    /** What it knew when it began to count as loaded. */
    knownAtFirst: SuspectParts | undefined;
}

/** A fleet on simulated time. */
export interface NewsFleet {
    readonly nodes: ReadonlyMap<string, FleetNode>;
    runMs(durationMs: number): void;
    start(index: number): FleetNode;
    kill(node: FleetNode): void;
    /** Lets a node see a crash. */
    recordCrash(node: FleetNode, part: string, crash: string): void;
    /** Gives the age of a crash in milliseconds as a node knows it; `undefined` if it does not. */
    readAgeMs(node: FleetNode, part: string, crash: string): number | undefined;
    /** Cuts failure domains off from all others; none heals the network. */
    cut(failureDomains: readonly string[]): void;
    dispose(): void;
}

/** Creates a fleet whose nodes all start within the first period. */
export function createNewsFleet({
    nodes: nodeCount,
    failureDomains,
    seed,
    lostShare = 0,
}: NewsFleetOptions): NewsFleet {
    const random = createRandom(seed);
    const nodes = new Map<string, FleetNode>();
    const sockets = new Map<number, (bytes: Buffer, from: { address: string; port: number }) => void>();
    const listedAtMs = new Map<FleetNode, number>();
    const due = new Map<number, (() => void)[]>();
    let nowMs = 0;
    let lives = 0;
    let separated: readonly string[] = [];

    const schedule = (delayMs: number, action: () => void) => {
        const atMs = nowMs + Math.max(1, Math.round(delayMs));
        due.set(atMs, [...(due.get(atMs) ?? []), action]);
    };
    const nameDomain = (port: number) => String(port % failureDomains);
    const isCut = (from: number, to: number) =>
        separated.includes(nameDomain(from)) !== separated.includes(nameDomain(to));
    const send = (bytes: Buffer, from: number, to: number) => {
        for (let copies = random.drawFraction() < lostShare ? 2 : 1; copies > 0; copies--) {
            if (random.drawFraction() >= lostShare && !isCut(from, to)) {
                schedule(random.drawFraction() * DELAY_MAX_MS, () => {
                    sockets.get(to)?.(bytes, { address: ADDRESS, port: from });
                });
            }
        }
    };
    const restorers = [
        mock.method(dgram, "createSocket", () => {
            let port = 0;
            const handlers: Record<string, (...values: unknown[]) => void> = {};
            return {
                on: (event: string, handler: (...values: unknown[]) => void) => void (handlers[event] = handler),
                bind: (ownPort: number) => {
                    port = ownPort;
                    sockets.set(port, (bytes, from) => handlers["message"]?.(bytes, from));
                },
                send: (bytes: Buffer, to: number) => send(bytes, port, to),
                close: () => void sockets.delete(port),
            };
        }),
        mock.method(globalThis, "setInterval", (action: () => void, periodMs: number) => {
            const timer = { isStopped: false };
            const repeat = () => {
                if (!timer.isStopped) {
                    action();
                    schedule(periodMs, repeat);
                }
            };
            schedule(periodMs, repeat);
            return timer;
        }),
        mock.method(globalThis, "clearInterval", (timer: { isStopped: boolean }) => void (timer.isStopped = true)),
    ];

    const listRelays = () => {
        const relays = [...nodes.values()].filter(({ news }) => news.isRelay());
        return relays.map(({ identity, news }) => ({ identity, nodes: news.listMembers().length }));
    };
    const lookIntoStore = (node: FleetNode) => {
        const periodMs = node.news.hasUnreachableDomain() ? LIST_PERIOD_MS.lost : LIST_PERIOD_MS.usual;
        if (node.news.isRelay() && nowMs - (listedAtMs.get(node) ?? 0) > periodMs) {
            listedAtMs.set(node, nowMs);
            node.news.addStoredRelays(listRelays());
        }
    };
    const start = (index: number): FleetNode => {
        const name = `node-${index}`;
        const identity = { node: name, life: `${name}-${lives++}`, failureDomain: nameDomain(index), address: ADDRESS };
        const self: NodeIdentity = { ...identity, port: index, capacity: 1 };
        const node: FleetNode = {
            identity: self,
            known: {},
            knownAtMs: nowMs,
            knownAtFirst: undefined,
            news: createFleetNews({
                self,
                failureDomains: Array.from({ length: failureDomains }, (_unused, domain) => String(domain)),
                quotaWindowMs: 8_000,
                readOwnNews: () => ({ countsForMs: 8_000, usage: {}, loads: {}, endpoints: {} }),
                readCounts: () => undefined,
                isNearEndpoint: () => true,
                handleActivity: () => undefined,
                evidence: {
                    readEvidence: () => advanceSuspects(node.known, nowMs - node.knownAtMs),
                    mergeEvidence: suspects => {
                        const known = advanceSuspects(node.known, nowMs - node.knownAtMs);
                        node.known = mergeSuspects([known, suspects], Math.max);
                        node.knownAtMs = nowMs;
                    },
                },
                rollouts: { readReports: () => ({}), mergeReports: () => undefined },
                limits: { readLimits: () => ({}), mergeLimits: () => undefined },
                clock: { readMonotonicMs: () => nowMs, readWallMs: () => nowMs, waitMs: () => Promise.resolve() },
                log: createLog({ write: () => undefined }),
                reportFailure: () => undefined,
            }),
        };
        const members = [...nodes.values(), node].map(one => one.identity);
        node.news.addStoredRelays(listRelays());
        listedAtMs.set(node, nowMs);
        nodes.set(name, node);
        node.news.addMembers(members.filter(member => member.failureDomain === identity.failureDomain));
        return node;
    };
    const runMs = (durationMs: number) => {
        for (const untilMs = nowMs + durationMs; nowMs < untilMs;) {
            nowMs++;
            const actions = due.get(nowMs) ?? [];
            due.delete(nowMs);
            actions.forEach(act => act());
            for (const node of nodes.values()) {
                if (node.knownAtFirst === undefined && node.news.isLoaded()) {
                    node.knownAtFirst = node.known;
                }
            }
            if (nowMs % LOOK_PERIOD_MS === 0) {
                nodes.forEach(lookIntoStore);
            }
        }
    };
    for (let index = 1; index <= nodeCount; index++) {
        schedule(random.drawFraction() * 250, () => void start(index));
    }
    return {
        nodes,
        runMs,
        start,
        kill: node => {
            node.news.dispose();
            nodes.delete(node.identity.node);
        },
        recordCrash: (node, part, crash) => {
            const suspects = { [part]: { crashes: { [crash]: 0 }, clearances: 0, earlierClearances: 0 } };
            node.known = mergeSuspects([advanceSuspects(node.known, nowMs - node.knownAtMs), suspects], Math.max);
            node.knownAtMs = nowMs;
        },
        readAgeMs: (node, part, crash) => {
            const ageMs = node.known[part]?.crashes[crash];
            return ageMs === undefined ? undefined : ageMs + nowMs - node.knownAtMs;
        },
        cut: domains => {
            separated = domains;
        },
        dispose: () => {
            nodes.forEach(({ news }) => news.dispose());
            restorers.forEach(restorer => restorer.mock.restore());
        },
    };
}
