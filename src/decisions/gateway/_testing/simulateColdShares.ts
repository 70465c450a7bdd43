/**
 * @module Simulates the nodes that share cold endpoints, without a network: relays that lose lists and nodes, and nodes
 * that always have a request to send.
 */
import { createRandom } from "../../../base/createRandom";
import { type ColdSenders, createColdSenders } from "../createColdSenders";
import { createSendWindow, type SendWindow } from "../createSendWindow";
import { type ColdTolerance, listSendingDomains, planColdShares } from "../planColdShares";

const LIST_PERIOD_MS = 2_000;
const STEP_MS = 50;
const SECOND_MS = 1_000;
/** Time after which relays no longer list a node that they don't hear, as `MEMBER_TIMEOUT_MS`. */
const LISTED_FOR_MS = 9_000;
const ENDPOINTS = ["i-1", "i-2"];

/** A simulated node. */
export interface SimulatedNode {
    readonly name: string;
    readonly failureDomain: string;
    /** Number of the node within its failure domain. */
    readonly index: number;
}

/** The fleet, and what goes wrong. */
export interface ColdSimulation {
    readonly nodes: number;
    readonly failureDomains: number;
    readonly perSecond: number;
    readonly overrun?: number;
    readonly slack?: number;
    readonly seed: number;
    readonly durationMs: number;
    /** Share of the lists that are lost on their way; default: 0. */
    readonly lostShare?: number;
    /** Tells whether two nodes of a failure domain reach each other; default: always. */
    readonly isConnected?: (from: SimulatedNode, to: SimulatedNode, nowMs: number) => boolean;
    /** Tells whether a node's process runs; default: always. A node that stops forgets everything. */
    readonly isRunning?: (node: SimulatedNode, nowMs: number) => boolean;
    /** Gives the numbers of the relays of a failure domain; default: 0 and 1. */
    readonly listRelays?: (failureDomain: string, nowMs: number) => readonly number[];
}

/** What the endpoints got. */
export interface ColdResult {
    /** Most requests that an endpoint got in a second, and the bound. */
    readonly secondMax: number;
    readonly bound: number;
    /** Requests a second over the last half of the time, by endpoint. */
    readonly lateRates: readonly number[];
}

interface Member {
    readonly node: SimulatedNode;
    /** Replaced when the node starts again. */
    senders: ColdSenders;
    windows: ReadonlyMap<string, SendWindow>;
}

/** Runs the simulation. */
export function simulateColdShares(simulation: ColdSimulation): ColdResult {
    const { overrun = 1.5, slack = 5, perSecond, durationMs, lostShare = 0 } = simulation;
    const { isConnected = () => true, isRunning = () => true, listRelays = () => [0, 1] } = simulation;
    const random = createRandom(simulation.seed);
    const failureDomains = Array.from({ length: simulation.failureDomains }, (_unused, index) => `z-${index}`);
    const tolerance: ColdTolerance = { perSecond, overrun, slack, failureDomains };
    const plan = planColdShares(tolerance);
    const nodes = Array.from({ length: simulation.nodes }, (_unused, index) => {
        const failureDomain = `z-${index % failureDomains.length}`;
        const node: SimulatedNode = {
            name: `n-${index}`,
            failureDomain,
            index: Math.floor(index / failureDomains.length),
        };
        const member: Member = {
            node,
            senders: createColdSenders(node.name),
            windows: new Map(ENDPOINTS.map(id => [id, createSendWindow()])),
        };
        return member;
    });
    const domains = failureDomains.map(name => nodes.filter(({ node }) => node.failureDomain === name));
    /** When each relay last heard each node, by both names. */
    const heardAtMs = new Map<string, number>();
    const sending = new Map(ENDPOINTS.map(id => [id, new Set(listSendingDomains(id, failureDomains, plan.senders))]));
    const sends = new Map(ENDPOINTS.map(id => [id, [] as number[]]));

    const hears = (from: Member, to: Member, nowMs: number) =>
        from === to ||
        (isRunning(from.node, nowMs) && isRunning(to.node, nowMs) && isConnected(from.node, to.node, nowMs));
    const sendLists = (members: readonly Member[], nowMs: number) => {
        // A node that reaches no relay is its own one.
        const chosen = listRelays(members[0]?.node.failureDomain ?? "", nowMs);
        const relays = members.filter(
            relay =>
                chosen.includes(relay.node.index) ||
                !members.some(other => chosen.includes(other.node.index) && hears(relay, other, nowMs)),
        );
        for (const relay of relays.filter(({ node }) => isRunning(node, nowMs))) {
            for (const member of members.filter(member => hears(member, relay, nowMs))) {
                heardAtMs.set(`${relay.node.name}|${member.node.name}`, nowMs);
            }
            const listed = members
                .map(({ node }) => node.name)
                .filter(
                    name => nowMs - (heardAtMs.get(`${relay.node.name}|${name}`) ?? -LISTED_FOR_MS) < LISTED_FOR_MS,
                );
            const isAlone = members.every(member => member === relay || !hears(relay, member, nowMs));
            for (const member of members.filter(member => hears(relay, member, nowMs))) {
                if (member === relay || random.drawFraction() >= lostShare) {
                    member.senders.recordMembers(listed, isAlone && members.length > 1, nowMs);
                }
            }
        }
    };
    const sendRequests = (member: Member, nowMs: number) => {
        for (const id of ENDPOINTS) {
            const window = member.windows.get(id);
            if (
                sending.get(id)?.has(member.node.failureDomain) === true &&
                window?.computeWaitMs(plan, nowMs) === 0 &&
                member.senders.isSender(id, nowMs)
            ) {
                window.recordSend(nowMs);
                sends.get(id)?.push(nowMs);
            }
        }
    };
    /** Starts a node, which reads the list of members in the store. */
    const startNode = (member: Member, nowMs: number) => {
        member.senders = createColdSenders(member.node.name);
        member.windows = new Map(ENDPOINTS.map(id => [id, createSendWindow()]));
        member.senders.recordKnown(
            (domains[failureDomains.indexOf(member.node.failureDomain)] ?? []).map(({ node }) => node.name),
            nowMs,
        );
    };
    const wasRunning = new Set<Member>();
    for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
        for (const member of nodes) {
            const runs = isRunning(member.node, nowMs);
            if (runs && !wasRunning.has(member)) {
                wasRunning.add(member);
                startNode(member, nowMs);
            } else if (!runs) {
                wasRunning.delete(member);
            }
        }
        domains.forEach((members, index) => {
            if (members.length > 0 && (nowMs + index * 300) % LIST_PERIOD_MS < STEP_MS) {
                sendLists(members, nowMs);
            }
        });
        // In another order each time: which node comes first must not matter.
        const first = random.drawInteger(0, Math.max(0, nodes.length - 1));
        [...nodes.slice(first), ...nodes.slice(0, first)]
            .filter(member => wasRunning.has(member))
            .forEach(member => sendRequests(member, nowMs));
    }
    const halfMs = durationMs / 2;
    return {
        secondMax: Math.max(...[...sends.values()].map(countSecondMax)),
        bound: Math.floor(perSecond * overrun + slack),
        lateRates: [...sends.values()].map(
            times => times.filter(atMs => atMs >= halfMs).length / ((durationMs - halfMs) / SECOND_MS),
        ),
    };
}

/** Counts the most of these times that lie within any second. */
function countSecondMax(times: readonly number[]): number {
    let first = 0;
    let most = 0;
    times.forEach((atMs, index) => {
        while (atMs - (times[first] ?? 0) >= SECOND_MS) {
            first++;
        }
        most = Math.max(most, index - first + 1);
    });
    return most;
}
