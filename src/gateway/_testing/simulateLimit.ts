/**
 * @module Simulates nodes that share the limit of one endpoint by news, with delays, restarts and partitions.
 */
import { createManualClock } from "../../base/createManualClock";
import { createRandom } from "../../base/createRandom";
import { createLog } from "../../base/log/createLog";
import { mergeLimits } from "../../decisions/relays/mergeLimits";
import type { LimitReports } from "../../decisions/relays/news";
import type { ResponseHead } from "../../ports/forwardingCodec";
import { createEndpointLimits, type EndpointLimits } from "../endpoints/createEndpointLimits";
import { createEndpointRecord } from "../endpoints/endpointRecord";
import { makeEndpoint } from "./makeEndpoint";

/** What is simulated. */
export interface LimitSimulation {
    readonly seed: number;
    readonly nodes: number;
    readonly perSecond: number;
    /** Requests of all nodes that could go to the endpoint. */
    readonly requestsPerSecond: number;
    readonly durationMs: number;
    /** Longest delay of a view. */
    readonly newsDelayMs: number;
    readonly restartsPerSecond: number;
    /** Times between which half of the nodes don't hear the other half. */
    readonly cutFromMs: number;
    readonly cutUntilMs: number;
}

/** What was seen. */
export interface LimitOutcome {
    /** Most requests in a window, from nodes that the endpoint had told of its limit. */
    readonly busiestWindow: number;
    /** Requests a second in the second half of the time. */
    readonly lateRate: number;
}

/** A window of the rule, and the time after the first answer with a limit from which it binds. */
export const LIMIT_WINDOW_MS = 4_000;
const CONTACT_MS = 4_000;
const TOLD_AFTER_MS = 500;
const NEWS_PERIOD_MS = 250;
const STEP_MS = 10;
const ANSWER_MS = 40;
const MS_PER_S = 1_000;

interface SimulatedNode {
    limits: EndpointLimits;
    toldAtMs: number;
    /** A restart or a cut excuses a node for the contact time after it. */
    excusedUntilMs: number;
}

/** Runs a simulation. */
export function simulateLimit(simulation: LimitSimulation): LimitOutcome {
    const clock = createManualClock();
    const random = createRandom(simulation.seed);
    const log = createLog({ write: () => undefined });
    const record = createEndpointRecord(makeEndpoint("i-1"), { roundTripMs: 0, penaltyMs: 0 }, clock);
    const answer = { requestsPerSecondMax: simulation.perSecond, isMisdirected: false } as ResponseHead;
    const isCut = () => {
        const nowMs = clock.readMonotonicMs();
        return nowMs >= simulation.cutFromMs && nowMs < simulation.cutUntilMs;
    };
    const createNode = (index: number): SimulatedNode => ({
        limits: createEndpointLimits({
            nodeName: `n-${index}`,
            directory: { findEndpoint: () => record },
            clusterTime: { readClusterMs: () => clock.readMonotonicMs(), hasAgreedOffset: () => true },
            readFleet: () => ({
                nodes: simulation.nodes,
                reachable: isCut() ? Math.ceil(simulation.nodes / 2) : simulation.nodes,
            }),
            clock,
            log,
        }),
        toldAtMs: Number.POSITIVE_INFINITY,
        excusedUntilMs: 0,
    });
    const nodes = Array.from({ length: simulation.nodes }, (_unused, index) => createNode(index));
    const due: { readonly atMs: number; readonly act: () => void }[] = [];
    const counted: number[] = [];
    const all: number[] = [];
    const exchangeNews = (group: readonly SimulatedNode[]) => {
        const view: LimitReports = mergeLimits(group.map(({ limits }) => limits.readLimits()));
        for (const node of group) {
            const { limits } = node;
            const atMs = clock.readMonotonicMs() + random.drawFraction() * simulation.newsDelayMs;
            due.push({ atMs, act: () => node.limits === limits && limits.mergeLimits(view) });
        }
    };
    const sendRequest = (node: SimulatedNode) => {
        const nowMs = clock.readMonotonicMs();
        node.limits.recordDemand(record);
        if (node.limits.computeWaitMs(record) > 0) {
            return;
        }
        node.limits.chargeAttempt(record);
        all.push(nowMs);
        if (nowMs - node.toldAtMs >= TOLD_AFTER_MS && nowMs >= node.excusedUntilMs) {
            counted.push(nowMs);
        }
        const { limits } = node;
        const handleAnswer = () => {
            if (node.limits === limits) {
                limits.recordAnswer(record, answer, nowMs);
                node.toldAtMs = Math.min(node.toldAtMs, clock.readMonotonicMs());
            }
        };
        due.push({ atMs: nowMs + ANSWER_MS, act: handleAnswer });
    };
    for (let nowMs = 0; nowMs < simulation.durationMs; nowMs += STEP_MS) {
        due.splice(0, due.length, ...due.filter(({ atMs, act }) => atMs > nowMs || void act()));
        if (isCut()) {
            nodes.forEach(node => (node.excusedUntilMs = nowMs + CONTACT_MS));
        }
        for (const [index, node] of nodes.entries()) {
            if (random.drawFraction() < (simulation.restartsPerSecond * STEP_MS) / MS_PER_S / nodes.length) {
                Object.assign(node, createNode(index), { excusedUntilMs: nowMs + CONTACT_MS });
            }
        }
        if (nowMs % NEWS_PERIOD_MS === 0) {
            const half = Math.ceil(nodes.length / 2);
            const groups = isCut() ? [nodes.slice(0, half), nodes.slice(half)] : [nodes];
            groups.forEach(exchangeNews);
        }
        const expected = (simulation.requestsPerSecond * STEP_MS) / MS_PER_S;
        const count = Math.floor(expected) + (random.drawFraction() < expected % 1 ? 1 : 0);
        for (let request = 0; request < count; request++) {
            const node = nodes[random.drawInteger(0, nodes.length - 1)];
            if (node !== undefined) {
                sendRequest(node);
            }
        }
        clock.advanceMs(STEP_MS);
    }
    const bound = counted.filter(atMs => atMs >= (all[0] ?? 0) + CONTACT_MS);
    const windows = bound.map(
        startMs => bound.filter(atMs => atMs >= startMs && atMs < startMs + LIMIT_WINDOW_MS).length,
    );
    const late = all.filter(atMs => atMs >= simulation.durationMs / 2);
    return {
        busiestWindow: Math.max(0, ...windows),
        lateRate: (late.length * MS_PER_S) / (simulation.durationMs / 2),
    };
}
