/**
 * @module Simulates many nodes in front of endpoints whose pace changes, without a network: each node sees its own
 * answers only, and old sums of what the others do.
 */
import { createManualClock } from "../../base/createManualClock";
import { createRandom } from "../../base/createRandom";
import type { Random } from "../../base/random";
import { chooseEndpoint, estimateResponseMs } from "../../decisions/gateway/chooseEndpoint";
import { convertToUsualPace } from "../../decisions/gateway/endpointPace";
import type { EndpointActivity } from "../../decisions/relays/news";
import {
    buildEndpointView,
    createEndpointRecord,
    type EndpointRecord,
    recordAnswerTime,
    recordLoad,
    recordOthers,
} from "../endpoints/endpointRecord";
import { createServiceSpeeds, type ServiceSpeeds } from "../forwarding/createServiceSpeeds";
import { createEventQueue } from "./createEventQueue";
import { makeEndpoint } from "./makeEndpoint";

const SERVICE = "chat";
const SLOTS = 4;
/** Time that a request takes in a slot at the usual pace: a fixed part and an exponentially distributed one. */
const FIXED_WORK_MS = 15;
const RANDOM_WORK_MS = 15;
const SNAPSHOT_MS = 50;
const REPORT_MS = 250;
/** Age of a state report when it arrives; it is used until the next one, so that its age is at most 800 ms. */
const REPORT_AGE_MIN_MS = 250;
const REPORT_AGE_MAX_MS = 550;
const NO_PROMPT = { promptTokens: 0, promptParts: [] };

/** What is simulated. */
export interface PaceSimulation {
    readonly seed: number;
    readonly nodes: number;
    readonly endpoints: number;
    /** Share of the endpoints' capacity at their average pace. */
    readonly load: number;
    readonly durationMs: number;
    /** Draws how long an endpoint keeps its next pace, and that pace. */
    readonly drawPace: (random: Random, endpoint: number) => { readonly pace: number; readonly forMs: number };
    /** Average of the drawn paces over time. */
    readonly averagePace: number;
    /** True if the endpoints report their pace; otherwise the choice is that for endpoints without one. */
    readonly reportsPace: boolean;
}

interface SimulatedEndpoint {
    pace: number;
    paceUntilMs: number;
    running: number;
    readonly queue: SimulatedRequest[];
}

interface SimulatedNode {
    readonly records: readonly EndpointRecord[];
    readonly speeds: ServiceSpeeds;
}

interface SimulatedRequest {
    readonly node: number;
    readonly endpoint: number;
    readonly sentAtMs: number;
    readonly workMs: number;
    readonly view: ReturnType<typeof buildEndpointView>;
}

/** Runs the simulation; gives the times to the answers that began after the first fifth of it, in ascending order. */
export function simulatePacedEndpoints(options: PaceSimulation): readonly number[] {
    const random = createRandom(options.seed);
    const clock = createManualClock();
    const endpoints = Array.from({ length: options.endpoints }, (): SimulatedEndpoint => ({
        pace: 100,
        paceUntilMs: 0,
        running: 0,
        queue: [],
    }));
    const nodes = Array.from({ length: options.nodes }, (): SimulatedNode => ({
        records: endpoints.map((_endpoint, index) =>
            createEndpointRecord(makeEndpoint(`i-${index}`, { slots: SLOTS }), { roundTripMs: 0, penaltyMs: 0 }, clock),
        ),
        speeds: createServiceSpeeds(),
    }));
    const events = createEventQueue();
    const snapshots: (readonly (readonly number[])[])[] = [];
    const times: number[] = [];
    const perMs =
        (options.load * options.endpoints * SLOTS) / ((FIXED_WORK_MS + RANDOM_WORK_MS) * (options.averagePace / 100));

    const drawExponential = (mean: number) => -Math.log(1 - random.drawFraction()) * mean;
    const readPace = (index: number, nowMs: number): number => {
        const endpoint = endpoints[index];
        if (endpoint === undefined) {
            return 100;
        }
        while (endpoint.paceUntilMs <= nowMs) {
            const { pace, forMs } = options.drawPace(random, index);
            endpoint.pace = pace;
            endpoint.paceUntilMs += forMs;
        }
        return endpoint.pace;
    };
    const startRequest = (request: SimulatedRequest, nowMs: number) => {
        const endpoint = endpoints[request.endpoint];
        if (endpoint !== undefined) {
            endpoint.running++;
            events.add(nowMs + (request.workMs * readPace(request.endpoint, nowMs)) / 100, atMs =>
                finishRequest(request, atMs),
            );
        }
    };
    const finishRequest = (request: SimulatedRequest, nowMs: number) => {
        const endpoint = endpoints[request.endpoint];
        const node = nodes[request.node];
        const record = node?.records[request.endpoint];
        if (endpoint === undefined || node === undefined || record === undefined) {
            return;
        }
        const pace = options.reportsPace ? Math.round(readPace(request.endpoint, nowMs)) : undefined;
        const load = { running: endpoint.running, waiting: endpoint.queue.length, slots: SLOTS };
        recordLoad(record, { ...load, ...(pace === undefined ? {} : { pace }) }, nowMs);
        const observedMs = nowMs - request.sentAtMs;
        const speed = node.speeds.readSpeed(SERVICE);
        const estimatedMs = estimateResponseMs({ ...request.view, pace }, NO_PROMPT, speed, false);
        recordAnswerTime(record, observedMs, estimatedMs, nowMs);
        node.speeds.recordAnswer(SERVICE, { uncachedTokens: 0, firstPartMs: convertToUsualPace(observedMs, pace) });
        record.ownInFlight--;
        if (request.sentAtMs > options.durationMs / 5) {
            times.push(observedMs);
        }
        endpoint.running--;
        const next = endpoint.queue.shift();
        if (next !== undefined) {
            startRequest(next, nowMs);
        }
    };
    const sendRequest = (nowMs: number) => {
        const index = random.drawInteger(0, nodes.length - 1);
        const node = nodes[index];
        if (node === undefined) {
            return;
        }
        const views = node.records.map(record => buildEndpointView(record, [], nowMs));
        const id = chooseEndpoint(views, NO_PROMPT, node.speeds.readSpeed(SERVICE), random);
        const chosen = views.findIndex(view => view.id === id);
        const [record, endpoint, view] = [node.records[chosen], endpoints[chosen], views[chosen]];
        if (record === undefined || endpoint === undefined || view === undefined) {
            return;
        }
        const workMs = FIXED_WORK_MS + drawExponential(RANDOM_WORK_MS);
        const request = { node: index, endpoint: chosen, sentAtMs: nowMs, workMs, view };
        record.ownInFlight++;
        if (endpoint.running < SLOTS) {
            startRequest(request, nowMs);
        } else {
            endpoint.queue.push(request);
        }
    };
    const scheduleArrival = (nowMs: number) => {
        const atMs = nowMs + drawExponential(1 / perMs);
        if (atMs < options.durationMs) {
            events.add(atMs, () => {
                sendRequest(atMs);
                scheduleArrival(atMs);
            });
        }
    };
    const scheduleSnapshot = (atMs: number) => {
        events.add(atMs, () => {
            snapshots.push(nodes.map(({ records }) => records.map(({ ownInFlight }) => ownInFlight)));
            if (atMs < options.durationMs) {
                scheduleSnapshot(atMs + SNAPSHOT_MS);
            }
        });
    };
    const scheduleReport = (index: number, atMs: number) => {
        events.add(atMs, () => {
            const ageMs = REPORT_AGE_MIN_MS + random.drawFraction() * (REPORT_AGE_MAX_MS - REPORT_AGE_MIN_MS);
            const snapshot = snapshots[Math.floor((atMs - ageMs) / SNAPSHOT_MS)];
            nodes[index]?.records.forEach((record, endpoint) => {
                if (snapshot !== undefined) {
                    recordOthers(record, sumOthers(snapshot, index, endpoint), atMs);
                }
            });
            if (atMs < options.durationMs) {
                scheduleReport(index, atMs + REPORT_MS);
            }
        });
    };
    scheduleArrival(0);
    scheduleSnapshot(0);
    nodes.forEach((_node, index) => scheduleReport(index, random.drawFraction() * REPORT_MS));
    events.run();
    return times.sort((left, right) => left - right);
}

/** Gives the value below which a share of the sorted values is. */
export function pickQuantile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function sumOthers(snapshot: readonly (readonly number[])[], self: number, endpoint: number): EndpointActivity {
    const inFlight = snapshot.reduce((sum, counts, node) => sum + (node === self ? 0 : (counts[endpoint] ?? 0)), 0);
    return { inFlight, pendingTokens: 0 };
}
