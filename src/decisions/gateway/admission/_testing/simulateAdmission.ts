/**
 * @module Runs nodes with callers against a small model of endpoints, without a network and clock.
 */
import { Heap } from "heap-js";
import { createRandom } from "../../../../base/createRandom";
import { computeNodeSeats } from "../computeNodeSeats";
import { createArrivalCount } from "../createArrivalCount";
import { createNodeShare } from "../createNodeShare";
import { createServiceQueue } from "../createServiceQueue";
import type { AdmissionRequest, WaitingEntry } from "../serviceQueue";

/** A stream of requests: its rate is a share of the capacity. */
export interface Demand {
    readonly account: string;
    readonly rank: number;
    readonly share: number;
}

/** What is simulated. */
export interface SimulationOptions {
    readonly demands: readonly Demand[];
    /** False: the present behaviour, which sends at once to the less occupied of two endpoints or refuses. */
    readonly hasAdmission: boolean;
    /** False: no state report ever arrives. */
    readonly hasReports?: boolean;
    /** Share of the requests that reach the first node; the others get equal parts of the rest. */
    readonly firstNodeShare?: number;
    readonly seed: number;
}

/** What came out of it, after a time to warm up. */
export interface SimulationResult {
    /** Cost of the responses within the objective per second, as a share of the capacity, by account. */
    readonly goodput: Readonly<Record<string, number>>;
    /** Cost of the requests of callers, without retries, in the same unit. */
    readonly offered: Readonly<Record<string, number>>;
    readonly lateShare: number;
    readonly endpointRefusals: number;
    readonly waited: number;
    /** Longest time after its objective until a request was refused or started from the queue; negative if before. */
    readonly keptLateMs: number;
    /** Longest wait before a refusal. */
    readonly refusedAfterMs: number;
}

const NODES = 6;
const ENDPOINTS = 12;
const SLOTS = 8;
const ENDPOINT_QUEUE = 4;
const SERVICE_MS = 200;
const OBJECTIVE_MS = 1_000;
const DEADLINE_MS = 3_000;
const DURATION_MS = 20_000;
const WARM_UP_MS = 4_000;
const REPORT_DELAY_MS = 550;
const TOKENS = 400;
const SIZES = [0.5, 1, 1.5] as const;
const SLOWDOWN = 0.3;
/** Requests of size 1 that all endpoints end per millisecond with all slots in use. */
const CAPACITY_PER_MS = (ENDPOINTS * SLOTS) / (SERVICE_MS * (1 + SLOWDOWN));

interface Call {
    readonly demand: Demand;
    readonly size: number;
    readonly bornMs: number;
    readonly attempt: number;
    readonly node: Node;
    readonly request: AdmissionRequest;
    tries: number;
    startedMs: number;
}

type Node = ReturnType<typeof createNode>;

const createNode = () => ({
    queue: createServiceQueue({ waitingMax: 256, bytesMax: 1e9 }),
    share: createNodeShare(),
    calls: new Map<WaitingEntry, Call>(),
    own: new Array<number>(ENDPOINTS).fill(0),
    reported: new Array<number>(ENDPOINTS).fill(0),
    reportedMs: -Infinity,
    named: new Array<{ count: number; atMs: number } | undefined>(ENDPOINTS).fill(undefined),
    arrivals: createArrivalCount(),
    fleetArrivals: undefined as number | undefined,
    running: 0,
    refusedMs: -Infinity,
});

/** Runs the model for twenty seconds of its time. */
export function simulateAdmission(options: SimulationOptions): SimulationResult {
    const random = createRandom(options.seed);
    const events = new Heap<{ atMs: number; run: () => void }>((left, right) => left.atMs - right.atMs);
    let nowMs = 0;
    const schedule = (delayMs: number, run: () => void) => events.push({ atMs: nowMs + delayMs, run });
    const nodes = Array.from({ length: NODES }, createNode);
    const endpoints = Array.from({ length: ENDPOINTS }, () => ({ running: 0, waiting: [] as Call[] }));
    const good: Record<string, number> = {};
    const offered: Record<string, number> = {};
    const totals = { late: 0, sent: 0, refusals: 0, waited: 0, keptLateMs: -Infinity, refusedAfterMs: 0 };

    const drawFrom = (indexes: readonly number[]) => indexes[random.drawInteger(0, indexes.length - 1)] as number;
    const readSeats = (node: Node) =>
        computeNodeSeats(
            endpoints.map((_endpoint, index) => {
                const named = node.named[index];
                return {
                    slots: SLOTS,
                    reported: { count: node.reported[index] ?? 0, ageMs: nowMs - node.reportedMs },
                    named: named === undefined ? undefined : { count: named.count, ageMs: nowMs - named.atMs },
                };
            }),
            {
                running: node.running,
                share: node.share.observeDemand(
                    { own: node.arrivals.readArrivals(nowMs), fleet: node.fleetArrivals, nodes: NODES },
                    nowMs,
                ),
                isRefused: nowMs - node.refusedMs < 1_000,
            },
        );
    const refuse = (call: Call, retryAfterMs: number) => {
        const remainingMs = call.bornMs + DEADLINE_MS - nowMs;
        if (call.attempt === 0) {
            schedule(Math.min(retryAfterMs, Math.max(0, remainingMs / 3)), () =>
                arrive(call.demand, call.size, call.bornMs, 1),
            );
        }
    };
    const finish = (call: Call, index: number) => {
        const endpoint = endpoints[index] as (typeof endpoints)[number];
        const { node } = call;
        endpoint.running--;
        node.own[index]!--;
        node.running--;
        node.named[index] = { count: endpoint.running + endpoint.waiting.length - node.own[index]!, atMs: nowMs };
        node.queue.recordFirstPart("r", nowMs - call.startedMs);
        node.queue.recordEnd(nowMs - call.startedMs);
        if (nowMs > WARM_UP_MS) {
            const isGood = nowMs - call.bornMs <= OBJECTIVE_MS;
            good[call.demand.account] = (good[call.demand.account] ?? 0) + (isGood ? call.size : 0);
            totals.late += isGood ? 0 : call.size;
        }
        const next = endpoint.waiting.shift();
        if (next !== undefined) {
            execute(next, index);
        }
        startWaiting(node);
    };
    const execute = (call: Call, index: number) => {
        const endpoint = endpoints[index] as (typeof endpoints)[number];
        endpoint.running++;
        const slowdown = 1 + Math.max(0, endpoint.running / SLOTS - 1 + SLOWDOWN);
        schedule(SERVICE_MS * call.size * slowdown * (0.8 + 0.4 * random.drawFraction()), () => finish(call, index));
    };
    const send = (call: Call, tried: readonly number[]) => {
        const { node } = call;
        const open = endpoints.map((_endpoint, index) => index).filter(index => !tried.includes(index));
        const occupancy = (index: number) => (node.own[index] ?? 0) + (node.reported[index] ?? 0);
        const [left, right] = [drawFrom(open), drawFrom(open)];
        const index = occupancy(left) <= occupancy(right) ? left : right;
        const endpoint = endpoints[index] as (typeof endpoints)[number];
        if (endpoint.running < SLOTS) {
            node.own[index]!++;
            execute(call, index);
        } else if (endpoint.waiting.length < ENDPOINT_QUEUE) {
            node.own[index]!++;
            endpoint.waiting.push(call);
        } else {
            totals.refusals++;
            node.refusedMs = nowMs;
            node.named[index] = { count: endpoint.running + endpoint.waiting.length - node.own[index]!, atMs: nowMs };
            call.tries++;
            if (call.tries < 3) {
                send(call, [...tried, index]);
            } else {
                node.running--;
                refuse(call, 300);
            }
        }
    };
    const start = (call: Call) => {
        call.startedMs = nowMs;
        call.node.running++;
        send(call, []);
    };
    const startWaiting = (node: Node) => {
        for (;;) {
            const entry = node.queue.takeNext(readSeats(node), nowMs);
            if (entry === undefined) {
                return;
            }
            totals.keptLateMs = Math.max(totals.keptLateMs, nowMs - entry.request.objectiveAtMs);
            start(takeCall(node, entry));
        }
    };
    const takeCall = (node: Node, entry: WaitingEntry): Call => {
        const call = node.calls.get(entry) as Call;
        node.calls.delete(entry);
        return call;
    };
    const refuseWaiting = (node: Node, entry: WaitingEntry, retryAfterMs: number) => {
        totals.keptLateMs = Math.max(totals.keptLateMs, nowMs - entry.request.objectiveAtMs);
        totals.refusedAfterMs = Math.max(totals.refusedAfterMs, nowMs - entry.queuedAtMs);
        refuse(takeCall(node, entry), retryAfterMs);
    };
    const arrive = (demand: Demand, size: number, bornMs: number, attempt: number) => {
        const isFirst = random.drawFraction() < (options.firstNodeShare ?? 1 / NODES);
        const node = nodes[isFirst ? 0 : random.drawInteger(1, NODES - 1)] as Node;
        node.arrivals.recordArrival(nowMs);
        const request: AdmissionRequest = {
            rank: demand.rank,
            account: demand.account,
            route: "r",
            cost: size * TOKENS,
            bytes: 1,
            objectiveMs: OBJECTIVE_MS,
            objectiveAtMs: bornMs + OBJECTIVE_MS,
            spread: random.drawFraction(),
        };
        const call: Call = { demand, size, bornMs, attempt, node, request, tries: 0, startedMs: nowMs };
        if (!options.hasAdmission) {
            start(call);
            return;
        }
        const decision = node.queue.decideArrival(request, readSeats(node), nowMs);
        if (decision.kind === "start") {
            start(call);
        } else if (decision.kind === "refuse") {
            refuse(call, decision.refusal.retryAfterMs);
        } else {
            totals.waited++;
            node.calls.set(decision.entry, call);
            if (decision.displaced !== undefined) {
                refuseWaiting(node, decision.displaced.entry, decision.displaced.retryAfterMs);
            }
        }
    };
    const generate = (demand: Demand) => {
        schedule(-Math.log(1 - random.drawFraction()) / (CAPACITY_PER_MS * demand.share), () => {
            const size = SIZES[random.drawInteger(0, SIZES.length - 1)] as number;
            offered[demand.account] = (offered[demand.account] ?? 0) + (nowMs > WARM_UP_MS ? size : 0);
            arrive(demand, size, nowMs, 0);
            generate(demand);
        });
    };
    const report = () => {
        const activity = nodes.map(({ own }) => [...own]);
        const arrivals = nodes.reduce((sum, node) => sum + node.arrivals.readArrivals(nowMs), 0);
        schedule(REPORT_DELAY_MS, () =>
            nodes.forEach((node, self) => {
                node.reported = endpoints.map((_endpoint, index) =>
                    activity.reduce((sum, own, other) => sum + (other === self ? 0 : (own[index] ?? 0)), 0),
                );
                node.fleetArrivals = arrivals;
                node.reportedMs = nowMs;
            }),
        );
        schedule(250, report);
    };
    const sweep = () => {
        for (const node of nodes) {
            startWaiting(node);
            for (const { entry, retryAfterMs } of node.queue.dropLate(readSeats(node), nowMs)) {
                refuseWaiting(node, entry, retryAfterMs);
            }
        }
        schedule(10, sweep);
    };
    options.demands.forEach(generate);
    if (options.hasReports !== false) {
        report();
    }
    sweep();
    for (let event = events.pop(); event !== undefined && event.atMs < DURATION_MS; event = events.pop()) {
        nowMs = event.atMs;
        event.run();
    }
    const perCapacity = 1 / ((DURATION_MS - WARM_UP_MS) * CAPACITY_PER_MS);
    const toShares = (costs: Readonly<Record<string, number>>) =>
        Object.fromEntries(options.demands.map(({ account }) => [account, (costs[account] ?? 0) * perCapacity]));
    return {
        goodput: toShares(good),
        offered: toShares(offered),
        lateShare: totals.late * perCapacity,
        endpointRefusals: totals.refusals,
        waited: totals.waited,
        keptLateMs: totals.keptLateMs,
        refusedAfterMs: totals.refusedAfterMs,
    };
}
