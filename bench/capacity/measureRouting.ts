/**
 * @module Routing state and decisions by the number of endpoints.
 */
import { createRandom } from "../../src/base/createRandom";
import { applyEndpoints } from "../../src/decisions/routing/applyEndpoints";
import { chooseCandidate } from "../../src/decisions/routing/chooseCandidate";
import { createPrefixIndex } from "../../src/decisions/routing/createPrefixIndex";
import { createRoutingState } from "../../src/decisions/routing/createRoutingState";
import { recordPrefixes } from "../../src/decisions/routing/recordPrefixes";
import { recordAttemptSent } from "../../src/decisions/routing/recordAttemptSent";
import { refreshRouting } from "../../src/decisions/routing/refreshRouting";
import type { RoutingState } from "../../src/decisions/routing/routingState";
import { selectSubset } from "../../src/decisions/routing/selectSubset";
import { buildVms } from "./_lib/buildVms";
import type { NewFigure, Point } from "./_lib/figures";
import { fitFigure } from "./_lib/fitFigure";
import { measureProcessor, readHeapBytes } from "./_lib/measureProcessor";
import { createWorkload } from "../policy/workload";

const SIZES = [100, 400, 1_600, 3_200];
const DECISION_SIZES = [48, 100, 400, 1_600, 3_200];
const SERVICES = 10;
const SUBSET_NODES = 20;
const PLACEMENT = { region: "region-0", failureDomain: "region-0-domain-0" };
const DECISIONS = 3_000;
const PREFIXES = 1_024;

/**
 * Measures routing.
 *
 * @returns The figures
 * @example
 * measureRouting();
 */
export function measureRouting(): Readonly<Record<string, NewFigure>> {
    const label = (what: string, unit: string) => ({ what, unit });
    const decisions = DECISION_SIZES.map((size): Point => [size, measureDecision(size)]);
    const states = SIZES.map((size): Point => [size, measureState(size)]);
    const ticks = SIZES.map((size): Point => [size, measureTick(size)]);
    const applies = SIZES.map((size): Point => [size, measureApply(size)]);
    return {
        routingDecision: fitFigure(label("processor time of a decision, for each candidate", "µs"), decisions),
        routingDecisionUsed: {
            ...label("processor time of a decision over 48 candidates", "µs"),
            value: decisions[0]![1],
        },
        routingHeap: fitFigure(label("memory of routing state, for each known endpoint", "bytes"), states),
        routingTick: fitFigure(
            label("processor time of a refresh (10 a second), for each known endpoint of 10 services", "µs"),
            ticks,
        ),
        routingApply: fitFigure(
            label("processor time of taking in a changed VM list, for each endpoint", "µs"),
            applies,
        ),
        routingPrefixHeap: fitFigure(
            label("memory of the cache hints, for each endpoint in use with 1,024 prefixes", "bytes"),
            [16, 32, 64, 128].map((count): Point => [count, measurePrefixes(count)]),
        ),
        routingSubset: {
            ...label(
                "endpoints of one service that a node uses: 3,200 endpoints, 15 domains, one version",
                "endpoints",
            ),
            value: measureSubset(1),
        },
        routingSubsetMove: {
            ...label("the same while a version move makes it two versions", "endpoints"),
            value: measureSubset(2),
        },
    };
}

function createState(size: number, services: number): RoutingState {
    const state = createRoutingState("node-1", PLACEMENT);
    state.nodeCount = 400;
    applyEndpoints(state, buildVms(size, { services }));
    return state;
}

function measureDecision(size: number): number {
    const random = createRandom(1);
    const candidates = [...createState(size, 1).candidates.values()];
    const index = createPrefixIndex();
    for (const candidate of candidates) {
        candidate.othersInFlight = random.drawInteger(0, 40);
        candidate.costMicros = random.drawInteger(50, 200);
    }
    const drawRequest = createWorkload(1, 20);
    const requests = Array.from({ length: DECISIONS }, drawRequest);
    const scratch = { candidates: [], scores: [] };
    const decide = (turn: number) => {
        const request = requests[turn % DECISIONS]!;
        const query = { ...request, version: "v1", route: "chat", excludedEndpointIds: [] };
        const limits = { remainingMs: request.targetMs, costCeilingMicros: 1_000 };
        const fractions = [random.drawFraction(), random.drawFraction()] as const;
        const choice = chooseCandidate(candidates, { ...query, ...limits }, index, fractions, scratch);
        if (choice !== undefined) {
            recordAttemptSent(choice.candidate, choice.uncachedTokens);
            recordPrefixes(index, choice.candidate, request.prefixHashes);
            choice.candidate.ownPrefillTokens = 0;
            choice.candidate.ownInFlight = 0;
        }
    };
    return measureProcessor({ what: "", unit: "µs" }, DECISIONS, decide).value;
}

function measureState(size: number): number {
    const vms = buildVms(size, { services: SERVICES });
    const before = readHeapBytes();
    const state = createRoutingState("node-1", PLACEMENT);
    applyEndpoints(state, vms);
    const bytes = readHeapBytes() - before;
    return state.candidates.size === size ? bytes : Number.NaN;
}

function measureTick(size: number): number {
    const state = createState(size, SERVICES);
    return measureProcessor({ what: "", unit: "µs" }, 200, turn => refreshRouting(state, turn * 100)).value;
}

function measureApply(size: number): number {
    const state = createState(size, SERVICES);
    const vms = buildVms(size, { services: SERVICES });
    return measureProcessor({ what: "", unit: "µs" }, 5, () => applyEndpoints(state, vms)).value;
}

function measurePrefixes(count: number): number {
    const candidates = [...createState(count, 1).candidates.values()];
    const before = readHeapBytes();
    const index = createPrefixIndex();
    candidates.forEach((candidate, number) => {
        const hashes = Array.from({ length: PREFIXES }, (_unused, prefix) => `${number}-${prefix}-0123456789`);
        recordPrefixes(index, candidate, hashes);
    });
    const bytes = readHeapBytes() - before;
    return index.prefixes.size === count ? bytes : Number.NaN;
}

function measureSubset(versions: number): number {
    const endpoints = [...createState(3_200, 1).candidates.values()].map(({ endpoint }, number) => ({
        ...endpoint,
        version: `v${Math.floor(number / 15) % versions}`,
    }));
    const sizes = Array.from({ length: SUBSET_NODES }, (_unused, node) => {
        const region = `region-${node % 5}`;
        return selectSubset(endpoints, `node-${node}`, { region, failureDomain: `${region}-domain-0` }).size;
    });
    return sizes.reduce((sum, size) => sum + size, 0) / SUBSET_NODES;
}
