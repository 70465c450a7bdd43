/**
 * @module The fleet planner and the holder of a version move.
 */
import { createRandom } from "../../src/base/createRandom";
import { createDemand, createFleetExample } from "../../src/decisions/fleet/_testing/createFleetExample";
import { decideFleetSteps } from "../../src/decisions/fleet/decideFleetSteps";
import { EMPTY_FLEET_STATE } from "../../src/decisions/fleet/fleetState";
import { planFleet } from "../../src/decisions/fleet/planFleet";
import { createMoveEvidence } from "../../src/decisions/versions/createMoveEvidence";
import { listOwnCounts } from "../../src/decisions/versions/listOwnCounts";
import { recordObservation } from "../../src/decisions/versions/recordObservation";
import { updatePooledScores } from "../../src/decisions/versions/updatePooledScores";
import { LoadLevel, type MoveEvidence } from "../../src/decisions/versions/versionEvidence";
import { MoveState, type VersionMove } from "../../src/model/configuration";
import { encodeEvidenceCounts } from "../../src/tasks/versions/_lib/evidenceCountsCodec";
import { buildVms } from "./_lib/buildVms";
import { DESIGN } from "./_lib/designSize";
import type { NewFigure, Point } from "./_lib/figures";
import { fitFigure } from "./_lib/fitFigure";
import { measureProcessor, readHeapBytes } from "./_lib/measureProcessor";

const SERVICES = [1, 2, 5, 10];
const NODES = [50, 100, 200, 400];
const VMS = [400, 1_600, 3_200];
const UNITS_OF_ALL_SERVICES = 1_800_000;
const ROUTES = 4;
const OBSERVATIONS = 2_400;
const LIMITS = { weightLoads: 40, drainMs: 60_000 };
const MOVE: VersionMove = {
    name: "move-1",
    serviceName: "assistant",
    fromVersion: "v1",
    toVersion: "v2",
    doneByWallMs: 1e12,
    state: MoveState.Moving,
    share: 0.1,
    reason: "",
};

/**
 * Measures a plan by its services, the steps by VMs, and the evidence of a move by nodes.
 *
 * @returns The figures
 * @example
 * measureHolders();
 */
export function measureHolders(): Readonly<Record<string, NewFigure>> {
    return { ...measureFleet(), ...measureMoves() };
}

function measureFleet(): Readonly<Record<string, NewFigure>> {
    const plans = SERVICES.map((count): Point => [count, measurePlan(count)]);
    const steps = VMS.map((count): Point => {
        const vms = buildVms(count, { services: 10 });
        const { groups } = buildPlan(10);
        const facts = { vms, nowWallMs: 1e9, limits: LIMITS };
        const decide = () => void decideFleetSteps({ ...EMPTY_FLEET_STATE, groups }, facts);
        return [count, measureProcessor({ what: "", unit: "µs" }, 3, decide).value];
    });
    return {
        fleetPlan: fitFigure(
            { what: "processor time of a plan over 15 domains and 4 machine classes, for each service", unit: "µs" },
            plans,
        ),
        fleetSteps: fitFigure({ what: "processor time of deciding steps, for each VM", unit: "µs" }, steps),
        fleetRowBytes: {
            what: "the fleet's state in the table with 10 services",
            unit: "bytes",
            value: Buffer.byteLength(JSON.stringify({ ...EMPTY_FLEET_STATE, groups: buildPlan(10).groups })),
        },
    };
}

function buildExample(count: number) {
    const services = Array.from({ length: count }, (_unused, index) => `service-${index}`);
    const random = createRandom(1);
    const example = createFleetExample(random, { domains: DESIGN.failureDomains, machineClasses: 4, services });
    const demands = services.map(service => createDemand(service, UNITS_OF_ALL_SERVICES / 10));
    return { demands, facts: { ...example, held: [], refusedOfferIds: new Set<string>() } };
}

function buildPlan(count: number) {
    const { demands, facts } = buildExample(count);
    return { groups: planFleet(demands, facts).services.flatMap(service => service.groups) };
}

function measurePlan(count: number): number {
    const { demands, facts } = buildExample(count);
    return measureProcessor({ what: "", unit: "µs" }, 1, () => void planFleet(demands, facts)).value;
}

function observeAttempt(evidence: MoveEvidence, index: number): void {
    const levels = Object.values(LoadLevel);
    const version = index % 2 === 0 ? "v1" : "v2";
    const route = `/route-${Math.floor(index / 2) % ROUTES}`;
    const loadLevel = levels[Math.floor(index / 2 / ROUTES) % levels.length]!;
    recordObservation(evidence, { version, route, loadLevel, isFailure: false, firstTokenMs: 300, tokenGapMs: 20 });
}

function observeMove(): MoveEvidence {
    const evidence = createMoveEvidence(MOVE);
    Array.from({ length: OBSERVATIONS }, (_unused, index) => observeAttempt(evidence, index));
    return evidence;
}

function measureObservation(): NewFigure {
    const evidence = observeMove();
    const label = { what: "processor time of an observation of a move", unit: "µs" };
    return measureProcessor(label, OBSERVATIONS, index => observeAttempt(evidence, index));
}

function measureMoves(): Readonly<Record<string, NewFigure>> {
    const counts = listOwnCounts(observeMove());
    const pooled = NODES.map((nodes): Point => {
        const evidence = observeMove();
        Array.from({ length: nodes - 1 }, (_unused, node) => evidence.peerCounts.set(`node-${node}`, counts));
        return [nodes, measureProcessor({ what: "", unit: "µs" }, 20, () => void updatePooledScores(evidence)).value];
    });
    const heap = NODES.map((nodes): Point => {
        const before = readHeapBytes();
        const others = new Map(
            Array.from({ length: nodes }, (_unused, node) => [`node-${node}`, structuredClone(counts)]),
        );
        const bytes = readHeapBytes() - before;
        return [nodes, others.size === nodes ? bytes : Number.NaN];
    });
    return {
        moveObservation: measureObservation(),
        movePooled: fitFigure(
            { what: "processor time of the pooled tests (12 cells), for each node that reports", unit: "µs" },
            pooled,
        ),
        moveHeap: fitFigure({ what: "memory of the others' evidence (12 cells), for each node", unit: "bytes" }, heap),
        moveBytes: {
            what: "evidence of one node (12 cells)",
            unit: "bytes",
            value: encodeEvidenceCounts(counts).length,
        },
    };
}
