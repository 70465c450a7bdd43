/**
 * @module Simulates 61 nodes in front of 63 endpoints with 16 slots in six failure domains of three regions, request by request and
 * without a network. Nodes choose endpoints by the modules of the product; each sees its own answers, and old sums of what
 * the others do.
 */
import type { Clock } from "../../base/clock";
import { createRandom } from "../../base/createRandom";
import type { Random } from "../../base/random";
import { chooseEndpoint, estimateResponseMs } from "../../decisions/gateway/chooseEndpoint";
import { convertToUsualPace } from "../../decisions/gateway/endpointPace";
import type { GatewaySettings } from "../../model/gateway";
import {
    buildEndpointView,
    createEndpointRecord,
    type EndpointRecord,
    recordAnswerTime,
    recordLoad,
    recordOthers,
} from "../endpoints/endpointRecord";
import { createServiceSpeeds, type ServiceSpeeds } from "../forwarding/createServiceSpeeds";
import { createSpillover, type SpilloverControl, type SpilloverOptions } from "../forwarding/createSpillover";
import { createEventQueue } from "./createEventQueue";
import { makeEndpoint } from "./makeEndpoint";

const SERVICE = "chat";
export const DOMAINS = 6;
const DOMAINS_PER_REGION = 2;
const NODES = 61;
const ENDPOINTS = 63;
const SLOTS = 16;
/** Time that a request takes in a slot at the usual pace: a fixed part and an exponentially distributed one. */
const FIXED_WORK_MS = 100;
const RANDOM_WORK_MS = 100;
const REQUEST_BYTES = 20_000;
const SNAPSHOT_MS = 50;
const REPORT_MS = 250;
/** Age of a state report when it arrives; it is used until the next one, so that its age is at most 800 ms. */
const REPORT_AGE_MIN_MS = 250;
const REPORT_AGE_MAX_MS = 550;
/** Time from the start that isn't measured. */
const WARM_UP_MS = 2_000;
const NO_PROMPT = { promptTokens: 0, promptParts: [] };
const ROUND_TRIPS_MS = { same: 0, near: 2, far: 60 };
const PENALTIES_MS = { same: 0, near: 5, far: 20 };
const REGIONS = Object.fromEntries(
    Array.from({ length: DOMAINS }, (_unused, domain) => [String(domain), computeRegion(domain)]),
);

/** What is simulated. */
export interface FailureDomainSimulation {
    readonly seed: number;
    /** False: the constant penalty for the distance. */
    readonly hasSpillover: boolean;
    readonly durationMs: number;
    readonly objectiveMs: number;
    /** Demand of a failure domain's callers at a time, as a share of the capacity of its endpoints at `averagePace`. */
    readonly readDemand: (domain: number, nowMs: number) => number;
    /** Draws how long an endpoint keeps its next pace, and that pace. */
    readonly drawPace: (random: Random, endpoint: number) => { readonly pace: number; readonly forMs: number };
    readonly averagePace: number;
    /** True from when on an endpoint takes nothing new, since its machine is reclaimed. */
    readonly isReclaimed: (domain: number, indexInDomain: number, nowMs: number) => boolean;
}

/** What came of it, after the warm-up. */
export interface FailureDomainResult {
    /** Share of the requests that were answered within the objective; those without an answer at the end are late. */
    readonly onTimeShare: number;
    /** Bytes of requests and answers that crossed failure domains, those between regions included. */
    readonly bytesBetweenDomains: number;
    readonly bytesBetweenRegions: number;
    /** Requests that left their failure domain while more than a tenth of its slots were free, as a share of all. */
    readonly needlessShare: number;
    /** Share of the requests of the first failure domain that went to others, by second. */
    readonly leavingShares: readonly number[];
}

interface SimulatedEndpoint {
    readonly domain: number;
    readonly indexInDomain: number;
    pace: number;
    paceUntilMs: number;
    running: number;
    readonly queue: SimulatedRequest[];
}

interface SimulatedNode {
    readonly domain: number;
    readonly records: readonly EndpointRecord[];
    readonly speeds: ServiceSpeeds;
    readonly spillover: SpilloverControl;
    /** Requests in progress of all nodes, by the last report. */
    allInFlight: number;
}

interface SimulatedRequest {
    readonly node: SimulatedNode;
    readonly endpoint: number;
    readonly sentAtMs: number;
    readonly workMs: number;
    readonly view: ReturnType<typeof buildEndpointView>;
}

/** Runs the simulation. */
export function simulateFailureDomains(options: FailureDomainSimulation): FailureDomainResult {
    // Separate streams, so that demand and paces are the same whatever the choice of endpoints is.
    const random = createRandom(options.seed);
    const demand = createRandom(options.seed + 1);
    const paces = Array.from({ length: ENDPOINTS }, (_unused, index) => createRandom(options.seed + 2 + index));
    const events = createEventQueue();
    let currentMs = 0;
    const clock = { readMonotonicMs: () => currentMs, readWallMs: () => currentMs } as Clock;
    const endpoints = Array.from({ length: ENDPOINTS }, (_unused, index): SimulatedEndpoint => ({
        domain: index % DOMAINS,
        indexInDomain: Math.floor(index / DOMAINS),
        pace: 100,
        paceUntilMs: 0,
        running: 0,
        queue: [],
    }));
    const isOpen = (endpoint: number): boolean => {
        const found = endpoints[endpoint];
        return found !== undefined && !options.isReclaimed(found.domain, found.indexInDomain, currentMs);
    };
    const nodes = Array.from({ length: NODES }, (_unused, index): SimulatedNode => {
        const domain = index % DOMAINS;
        const speeds = createServiceSpeeds();
        const records = endpoints.map((endpoint, id) => {
            const distance = findDistance(domain, endpoint.domain);
            const entry = makeEndpoint(`i-${id}`, { slots: SLOTS, failureDomain: String(endpoint.domain) });
            const place = { roundTripMs: ROUND_TRIPS_MS[distance], penaltyMs: PENALTIES_MS[distance] };
            return createEndpointRecord(entry, place, clock);
        });
        const node = { domain, records, speeds, allInFlight: 0 };
        const spillover = createSpillover({
            settings: {
                failureDomain: String(domain),
                regions: REGIONS,
                hasSpillover: options.hasSpillover,
            } as unknown as GatewaySettings,
            clock,
            random,
            log: { info: () => undefined } as unknown as SpilloverOptions["log"],
            speeds,
            directory: { listUsable: () => records.filter((_record, id) => isOpen(id)) },
            evacuations: { readDomains: () => new Set() },
            limits: { isLimited: () => false },
            rollouts: { isServing: () => true },
            coldEndpoints: { isCold: () => false },
            news: {
                isInTouch: () => currentMs > REPORT_MS + REPORT_AGE_MAX_MS,
                readLoad: () => ({ tokensPerSecond: 0, inFlight: node.allInFlight }),
                readUsage: () => ({ nodes: NODES, reachable: NODES }) as never,
            },
            metrics: { countAttemptDistance: () => undefined, setSpilloverShare: () => undefined },
            reportFailure: (_owner, error) => {
                throw error;
            },
        });
        return Object.assign(node, { spillover });
    });
    const snapshots: { readonly own: readonly (readonly number[])[]; readonly totals: readonly number[] }[] = [];
    const counts = { all: 0, onTime: 0, between: 0, regions: 0, needless: 0 };
    const seconds = Array.from({ length: Math.ceil(options.durationMs / 1_000) }, () => ({ all: 0, left: 0 }));

    const drawExponential = (mean: number) => -Math.log(1 - demand.drawFraction()) * mean;
    const readPace = (index: number): number => {
        const [endpoint, stream] = [endpoints[index], paces[index]];
        if (endpoint === undefined || stream === undefined) {
            return 100;
        }
        while (endpoint.paceUntilMs <= currentMs) {
            const { pace, forMs } = options.drawPace(stream, index);
            endpoint.pace = pace;
            endpoint.paceUntilMs += forMs;
        }
        return endpoint.pace;
    };
    const schedule = (delayMs: number, run: () => void) => {
        events.add(currentMs + delayMs, atMs => {
            currentMs = atMs;
            run();
        });
    };
    const receiveAnswer = (request: SimulatedRequest, load: Parameters<typeof recordLoad>[1]) => {
        const { node, sentAtMs, view } = request;
        const record = node.records[request.endpoint];
        if (record === undefined) {
            return;
        }
        recordLoad(record, load, currentMs);
        const observedMs = currentMs - sentAtMs;
        const speed = node.speeds.readSpeed(SERVICE);
        const estimatedMs = estimateResponseMs({ ...view, pace: load.pace }, NO_PROMPT, speed, false);
        recordAnswerTime(record, observedMs, estimatedMs - view.distancePenaltyMs, currentMs);
        const firstPartMs = convertToUsualPace(observedMs - record.roundTripMs, load.pace);
        node.speeds.recordAnswer(SERVICE, { uncachedTokens: 0, firstPartMs });
        record.ownInFlight--;
        counts.onTime += sentAtMs >= WARM_UP_MS && observedMs <= options.objectiveMs ? 1 : 0;
    };
    const startRequest = (request: SimulatedRequest) => {
        const endpoint = endpoints[request.endpoint];
        if (endpoint !== undefined) {
            endpoint.running++;
            schedule((request.workMs * readPace(request.endpoint)) / 100, () => {
                const pace = Math.round(readPace(request.endpoint));
                const load = { running: endpoint.running, waiting: endpoint.queue.length, slots: SLOTS, pace };
                schedule(request.view.roundTripMs / 2, () => {
                    receiveAnswer(request, load);
                });
                endpoint.running--;
                const next = endpoint.queue.shift();
                if (next !== undefined) {
                    startRequest(next);
                }
            });
        }
    };
    const countLeaving = (from: number, to: number) => {
        const distance = findDistance(from, to);
        const second = seconds[Math.floor(currentMs / 1_000)];
        if (from === 0 && second !== undefined) {
            second.all++;
            second.left += from === to ? 0 : 1;
        }
        if (currentMs < WARM_UP_MS) {
            return;
        }
        counts.all++;
        counts.between += distance === "same" ? 0 : REQUEST_BYTES;
        counts.regions += distance === "far" ? REQUEST_BYTES : 0;
        if (distance !== "same") {
            const own = endpoints.filter(({ domain }, index) => domain === from && isOpen(index));
            const running = own.reduce((sum, endpoint) => sum + endpoint.running, 0);
            counts.needless += running < 0.9 * SLOTS * own.length ? 1 : 0;
        }
    };
    const sendRequest = (node: SimulatedNode, workMs: number) => {
        const takers = node.records.filter((_record, id) => isOpen(id));
        const listed = node.spillover.filterDomains(SERVICE, options.objectiveMs, takers);
        const views = listed.map(record => buildEndpointView(record, [], currentMs));
        const id = chooseEndpoint(views, NO_PROMPT, node.speeds.readSpeed(SERVICE), random);
        const chosen = node.records.findIndex(({ endpoint }) => endpoint.id === id);
        const [record, endpoint] = [node.records[chosen], endpoints[chosen]];
        const view = views.find(candidate => candidate.id === id);
        if (record === undefined || endpoint === undefined || view === undefined) {
            return;
        }
        countLeaving(node.domain, endpoint.domain);
        const request = { node, endpoint: chosen, sentAtMs: currentMs, workMs, view };
        record.ownInFlight++;
        schedule(view.roundTripMs / 2, () => {
            if (endpoint.running < SLOTS) {
                startRequest(request);
            } else {
                endpoint.queue.push(request);
            }
        });
    };
    const scheduleArrival = (domain: number) => {
        const slots = SLOTS * endpoints.filter(endpoint => endpoint.domain === domain).length;
        const capacityPerMs = slots / (((FIXED_WORK_MS + RANDOM_WORK_MS) * options.averagePace) / 100);
        const members = nodes.filter(node => node.domain === domain);
        const peak = Math.max(...seconds.map((_unused, second) => options.readDemand(domain, second * 1_000)));
        schedule(drawExponential(1 / (capacityPerMs * peak)), () => {
            const node = members[demand.drawInteger(0, members.length - 1)];
            const workMs = FIXED_WORK_MS + drawExponential(RANDOM_WORK_MS);
            // Arrivals are drawn at the highest rate and thinned out to the present one.
            if (node !== undefined && demand.drawFraction() * peak < options.readDemand(domain, currentMs)) {
                sendRequest(node, workMs);
            }
            if (currentMs < options.durationMs) {
                scheduleArrival(domain);
            }
        });
    };
    const scheduleSnapshot = () => {
        schedule(SNAPSHOT_MS, () => {
            const own = nodes.map(({ records }) => records.map(({ ownInFlight }) => ownInFlight));
            const totals = endpoints.map((_endpoint, index) => own.reduce((sum, list) => sum + (list[index] ?? 0), 0));
            snapshots.push({ own, totals });
            if (currentMs < options.durationMs) {
                scheduleSnapshot();
            }
        });
    };
    const scheduleReport = (index: number, delayMs: number) => {
        schedule(delayMs, () => {
            const ageMs = REPORT_AGE_MIN_MS + random.drawFraction() * (REPORT_AGE_MAX_MS - REPORT_AGE_MIN_MS);
            const snapshot = snapshots[Math.floor((currentMs - ageMs) / SNAPSHOT_MS)];
            const node = nodes[index];
            if (snapshot !== undefined && node !== undefined) {
                node.allInFlight = snapshot.totals.reduce((sum, total) => sum + total, 0);
                node.records.forEach((record, id) => {
                    const domain = endpoints[id]?.domain ?? 0;
                    // Views name the endpoints of the own region only.
                    if (findDistance(node.domain, domain) !== "far") {
                        const inFlight = (snapshot.totals[id] ?? 0) - (snapshot.own[index]?.[id] ?? 0);
                        recordOthers(record, { inFlight, pendingTokens: 0 }, currentMs);
                    }
                });
            }
            if (currentMs < options.durationMs) {
                scheduleReport(index, REPORT_MS);
            }
        });
    };
    for (let domain = 0; domain < DOMAINS; domain++) {
        scheduleArrival(domain);
    }
    scheduleSnapshot();
    nodes.forEach((_node, index) => {
        scheduleReport(index, random.drawFraction() * REPORT_MS);
    });
    events.run();
    return {
        onTimeShare: counts.onTime / counts.all,
        bytesBetweenDomains: counts.between,
        bytesBetweenRegions: counts.regions,
        needlessShare: counts.needless / counts.all,
        leavingShares: seconds.map(({ all, left }) => left / Math.max(1, all)),
    };
}

function computeRegion(domain: number): string {
    return `r${Math.floor(domain / DOMAINS_PER_REGION)}`;
}

function findDistance(from: number, to: number): keyof typeof ROUND_TRIPS_MS {
    if (from === to) {
        return "same";
    }
    return computeRegion(from) === computeRegion(to) ? "near" : "far";
}
