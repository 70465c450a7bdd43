/**
 * @module Simulates nodes that enforce the quota of one account and report to each other through relays.
 */
import { createRandom } from "../../../base/createRandom";
import type { GatewayAccount } from "../../../model/gateway";
import { NEWS_PERIOD_MS, UNREACHABLE_AFTER_MS } from "../../relays/constants";
import { createReportCollector, type ReportCollector } from "../../relays/createReportCollector";
import { createSummaryMerger, type SummaryMerger } from "../../relays/createSummaryMerger";
import type { FleetView, NodeIdentity } from "../../relays/news";
import { makeFleetUsage } from "./makeFleetUsage";
import { type AccountQuotas, createAccountQuotas, type QuotaPolicy } from "../accountQuotas";
import type { FormerUsage } from "../computeLeftUsage";
import { createUsageSamples } from "../createUsageSamples";

const STEP_MS = 20;
const DURATION_MS = 30_000;
/** Time of the first request; by then all nodes have received each other's reports. */
const FIRST_REQUEST_MS = 1_000;
const KILL_MS = 9_000;
const RESTART_AFTER_MS = 500;
const CUT_MS = { from: 12_000, to: 22_000 };
const REGION_DELAY_MS = 30;
/** The account asks for eleven times what it may use. */
const DEMAND = 11;
const DEMAND_PERIOD_MS = 8_000;
const MINIMUM_STEP_MS = 100;
const RECORD_PERIOD_MS = 1_000;
const FAVORED_SHARE = 0.9;
const REQUESTS_PER_LIMIT = 250;

/** The simulated fleet, and its failures. */
export interface QuotaSimulation {
    readonly account: GatewayAccount;
    readonly policy: QuotaPolicy;
    readonly nodes: number;
    readonly failureDomains: number;
    /** Size of the requests: how many of them fill the limit; default: 250. */
    readonly requestsPerLimit?: number;
    /** Sizes of the requests in turn, as with `requestsPerLimit`, if they differ. */
    readonly requestSizes?: readonly number[];
    /** What the account asks for in 8 s, in multiples of its limit; default: 11. */
    readonly demand?: number;
    /** Seed of the random choices; default: 5. */
    readonly seed?: number;
    /** From when on the account sends to the last nodes in place of the first ones; default: never. */
    readonly moveMs?: number;
    /** How many nodes get nine tenths of the requests; default: none. */
    readonly favored?: number;
    /** Number of nodes that the account sends to; default: all. */
    readonly senders?: number;
    /** Nodes that receive no news, and whose reports arrive nowhere, from 12 s to 22 s. */
    readonly cut?: readonly number[];
    /** Nodes that are killed after the limit was reached, and restart half a second later. */
    readonly killed?: readonly number[];
    /** When they are killed; default: 9 s. */
    readonly killMs?: number;
    /** True if the usage of all nodes is recorded each second, and nodes that start read the record. */
    readonly hasRecords?: boolean;
    /** True if the first relay of each failure domain is lost at 9 s, and the second takes over. */
    readonly lostRelays?: boolean;
}

interface SimulatedNode {
    readonly identity: NodeIdentity;
    readonly quotas: AccountQuotas;
    readonly phaseMs: number;
    sequence: number;
    view: (FleetView & { readonly atMs: number }) | undefined;
}

interface SimulatedRelay {
    readonly identity: NodeIdentity;
    readonly collector: ReportCollector;
    readonly merger: SummaryMerger;
    readonly phaseMs: number;
    sequence: number;
}

/** What all nodes together admitted. */
export interface QuotaResult {
    /** Highest sum in any quota window. */
    readonly maximum: number;
    /** Mean sum in a quota window of the last part of the simulation. */
    readonly perWindow: number;
    /** Lowest sum in any quota window that begins with the first request or later. */
    readonly minimum: number;
    /** Sum of what was refused. */
    readonly refused: number;
}

/** Runs the simulation. */
export function simulateQuotas(simulation: QuotaSimulation): QuotaResult {
    const { account, policy, nodes: nodeCount, failureDomains, cut = [], killed = [], killMs = KILL_MS } = simulation;
    const random = createRandom(simulation.seed ?? 5);
    const makeIdentity = (index: number, life: string): NodeIdentity => ({
        node: String(index),
        life,
        failureDomain: String(index % failureDomains),
        address: "",
        port: 1,
        capacity: 1,
    });
    const startNode = (index: number, startedAtMs?: number): SimulatedNode => ({
        identity: makeIdentity(index, `${index}-${startedAtMs ?? 0}`),
        quotas: createAccountQuotas(policy, startedAtMs, random),
        phaseMs: random.drawInteger(0, NEWS_PERIOD_MS - 1),
        sequence: 0,
        view: undefined,
    });
    const startRelay = (index: number, startedAtMs: number): SimulatedRelay => ({
        identity: makeIdentity(index, `relay-${index}-${startedAtMs}`),
        collector: createReportCollector(policy.quotaWindowMs),
        merger: createSummaryMerger(policy.quotaWindowMs),
        phaseMs: random.drawInteger(0, NEWS_PERIOD_MS - 1),
        sequence: 0,
    });
    const nodes = Array.from({ length: nodeCount }, (_unused, index) => startNode(index));
    let relays = Array.from({ length: failureDomains }, (_unused, domain) => startRelay(domain, 0));
    const spareRelays = relays.map((_unused, domain) => startRelay(domain, 1));
    let deliveries: { readonly atMs: number; readonly deliver: () => void }[] = [];
    const isDead = (index: number, nowMs: number) =>
        killed.includes(index) && nowMs >= killMs && nowMs < killMs + RESTART_AFTER_MS;
    const isCutOff = (index: number, nowMs: number) => cut.includes(index) && nowMs > CUT_MS.from && nowMs < CUT_MS.to;
    const send = (atMs: number, deliver: () => void) => void deliveries.push({ atMs, deliver });
    const isTick = (phaseMs: number, nowMs: number) => (nowMs + phaseMs) % NEWS_PERIOD_MS < STEP_MS;

    const sendReport = (node: SimulatedNode, nowMs: number) => {
        const report = {
            ...node.identity,
            ...node.quotas.describeUsage(nowMs, readFleet(node, nowMs)),
            sequence: ++node.sequence,
            loads: {},
            endpoints: {},
            suspects: {},
            rollouts: {},
            limits: {},
            counted: undefined,
        };
        for (const relay of [...relays, ...(simulation.lostRelays === true ? spareRelays : [])]) {
            if (relay.identity.failureDomain === node.identity.failureDomain) {
                send(nowMs + 1, () => relay.collector.recordReport(report, nowMs + 1));
            }
        }
    };
    const sendNews = (relay: SimulatedRelay, nowMs: number) => {
        const summary = {
            ...relay.collector.summarize(nowMs),
            relay: relay.identity,
            sequence: ++relay.sequence,
            lostUsage: relay.merger.readLostUsage(),
        };
        for (const other of [...relays, ...spareRelays]) {
            const delayMs = other === relay ? 0 : REGION_DELAY_MS;
            send(nowMs + delayMs, () => other.merger.recordSummary(summary, nowMs + delayMs));
        }
        const view = relay.merger.mergeView(nowMs);
        for (const node of nodes.filter(({ identity }) => identity.failureDomain === relay.identity.failureDomain)) {
            if (!isCutOff(Number(node.identity.node), nowMs)) {
                send(nowMs + 1, () => (node.view = { ...view, atMs: nowMs + 1 }));
            }
        }
    };
    const readFleet = (node: SimulatedNode, nowMs: number) => {
        const { view } = node;
        return view !== undefined && nowMs - view.atMs < UNREACHABLE_AFTER_MS
            ? { ...view, isCounted: true }
            : makeFleetUsage({ nodes: nodeCount, isCounted: view !== undefined });
    };

    const limit = (account.quotaPerSecond * policy.quotaWindowMs) / 1_000 + account.quotaBurst;
    const { requestSizes = [simulation.requestsPerLimit ?? REQUESTS_PER_LIMIT], favored = 0 } = simulation;
    const senders = simulation.senders ?? nodeCount;
    const drawSender = (nowMs: number) => {
        const isFavored = favored > 0 && random.drawFraction() < FAVORED_SHARE;
        const sender = random.drawInteger(0, (isFavored ? favored : senders) - 1);
        return nowMs < (simulation.moveMs ?? DURATION_MS) ? sender : nodeCount - 1 - sender;
    };
    const samples = createUsageSamples(policy.quotaWindowMs);
    let written: FormerUsage | undefined;
    /** Writes the record as one relay does, and gives it to nodes that have started. */
    const writeRecord = (nowMs: number) => {
        const view = nodes[0]?.view;
        if (simulation.hasRecords !== true || isDead(0, nowMs) || view === undefined) {
            return;
        }
        samples.recordView(view, nowMs);
        if (nowMs % RECORD_PERIOD_MS === 0 && view.countsForMs >= policy.quotaWindowMs) {
            written = { record: samples.buildRecord(nowMs), atMs: nowMs };
        }
    };
    let sent = 0;
    let refused = 0;
    const admitted: { readonly atMs: number; readonly amount: number }[] = [];
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
        if (nowMs === killMs + RESTART_AFTER_MS) {
            killed.forEach(index => nodes.splice(index, 1, startNode(index, nowMs)));
            const former = written;
            if (former !== undefined) {
                killed.forEach(index => nodes[index]?.quotas.recordFormerUsage(former));
            }
            relays = relays.map((relay, domain) =>
                killed.includes(Number(relay.identity.node)) ? startRelay(domain, nowMs) : relay,
            );
        }
        if (nowMs === killMs && simulation.lostRelays === true) {
            relays = spareRelays;
        }
        const due = deliveries.filter(({ atMs }) => atMs <= nowMs);
        deliveries = deliveries.filter(({ atMs }) => atMs > nowMs);
        due.forEach(({ deliver }) => deliver());
        for (const [index, node] of nodes.entries()) {
            if (isTick(node.phaseMs, nowMs) && !isDead(index, nowMs) && !isCutOff(index, nowMs)) {
                sendReport(node, nowMs);
            }
        }
        writeRecord(nowMs);
        for (const relay of relays) {
            const index = Number(relay.identity.node);
            if (isTick(relay.phaseMs, nowMs) && !isDead(index, nowMs)) {
                sendNews(relay, nowMs);
            }
        }
        if (nowMs < FIRST_REQUEST_MS) {
            continue;
        }
        const askedInStep = ((simulation.demand ?? DEMAND) * limit * STEP_MS) / DEMAND_PERIOD_MS;
        for (let asked = askedInStep; asked > 0;) {
            const amount = limit / (requestSizes[sent++ % requestSizes.length] ?? REQUESTS_PER_LIMIT);
            const node = nodes[drawSender(nowMs)];
            const isWhole = asked >= amount || random.drawFraction() < asked / amount;
            asked -= amount;
            if (node !== undefined && isWhole && !isDead(Number(node.identity.node), nowMs)) {
                if (node.quotas.charge(account, amount, readFleet(node, nowMs), nowMs)) {
                    admitted.push({ atMs: nowMs, amount });
                } else {
                    refused += amount;
                }
            }
        }
    }
    const windows = admitted.map(({ atMs }) => sumWithin(admitted, atMs - policy.quotaWindowMs, atMs));
    const endsMs = Array.from(
        { length: (DURATION_MS - FIRST_REQUEST_MS - policy.quotaWindowMs) / MINIMUM_STEP_MS },
        (_unused, index) => FIRST_REQUEST_MS + policy.quotaWindowMs + index * MINIMUM_STEP_MS,
    );
    const lastWindows = Math.floor(DURATION_MS / policy.quotaWindowMs) - 1;
    const lastMs = lastWindows * policy.quotaWindowMs;
    return {
        maximum: Math.max(...windows),
        minimum: Math.min(...endsMs.map(endMs => sumWithin(admitted, endMs - policy.quotaWindowMs, endMs))),
        refused,
        perWindow: sumWithin(admitted, DURATION_MS - lastMs, DURATION_MS) / lastWindows,
    };
}

/** Sums the amounts after `fromMs` and until `toMs`. */
function sumWithin(
    admitted: readonly { readonly atMs: number; readonly amount: number }[],
    fromMs: number,
    toMs: number,
): number {
    return admitted.filter(({ atMs }) => atMs > fromMs && atMs <= toMs).reduce((sum, { amount }) => sum + amount, 0);
}
