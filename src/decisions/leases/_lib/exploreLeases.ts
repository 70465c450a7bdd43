/**
 * @module Exhaustive exploration of two nodes that compete for the same lease, for tests.
 *
 * From each state it tries every event that can come next: a node takes its next step, the store processes a write, an
 * answer arrives or is lost, or time passes. Paths on which a node takes no step for some time cover paused nodes.
 */
import { applyLeaseAnswer, applyLeaseRead, isLeaseHeld, recordLeaseWrite } from "../applyLeaseEvents";
import { createLeaseState } from "../createLeaseState";
import { decideLeaseStep } from "../decideLeaseStep";
import { type LeaseRow, type LeaseState, type LeaseStep, LeaseStepKind, LeaseWriteOutcome } from "../leaseState";

/** Depth and variant of the exploration. The faulty variants verify that the exploration detects faults. */
export interface ExplorationOptions {
    /** Maximum number of consecutive events. */
    readonly depth: number;
    readonly durationMs: number;
    readonly marginMs: number;
    /** Faulty variant: the lease duration counts from the answer instead of from before the write. */
    readonly countsFromAnswer?: boolean;
    /** Faulty variant: a takeover does not wait for the previous lease to expire. */
    readonly takesOverAtOnce?: boolean;
}

/** Result of an exploration. */
export interface Exploration {
    /** Number of distinct states reached. */
    readonly states: number;
    /** Violated guarantees, each with the events that led to it. */
    readonly violations: readonly string[];
    /** States in which the lease had passed from one node to the other. */
    readonly takeovers: number;
    /** States with a write whose answer the node no longer waits for, although the write may still take effect. */
    readonly lostAnswers: number;
}

/** The lease row in the store. */
interface StoredRow {
    readonly row: LeaseRow;
    readonly version: number;
    readonly token: string;
}

/** A write in transit to the store, or its answer in transit to the node. */
interface InFlightWrite {
    readonly node: number;
    readonly token: string;
    readonly row: LeaseRow;
    readonly expectedVersion: number | undefined;
    /** Set once the store has processed the write; the answer is then in transit. */
    readonly answer?: { readonly outcome: LeaseWriteOutcome; readonly rowVersion?: number };
    /** True once the node has stopped waiting for the answer; the write may still take effect. */
    readonly isAbandoned: boolean;
}

/** One state of the explored model. */
interface World {
    readonly nowMs: number;
    readonly nodes: readonly LeaseState[];
    readonly stored: StoredRow | undefined;
    readonly flights: readonly InFlightWrite[];
    /** Number of writes sent so far. */
    readonly writes: number;
    /** Holder of each epoch according to the accepted writes; several are joined by `+`. */
    readonly holders: Readonly<Record<number, string>>;
}

/** Explores every sequence of events up to the given depth. */
export function exploreLeases(options: ExplorationOptions): Exploration {
    const terms = { durationMs: options.durationMs, marginMs: options.marginMs };
    const nodes = ["a", "b"].map(holderId => createLeaseState({ holderId, ...terms }));
    const reached = new Map<string, number>();
    const violations: string[] = [];
    let takeovers = 0;
    let lostAnswers = 0;

    const visit = (world: World, depthLeft: number, path: readonly string[]): void => {
        const key = describeWorld(world);
        if (violations.length > 3 || (reached.get(key) ?? -1) >= depthLeft) {
            return;
        }
        const isNew = !reached.has(key);
        reached.set(key, depthLeft);
        const violation = findViolation(world);
        if (violation !== undefined) {
            violations.push(`${violation}: ${path.join(", ")}`);
            return;
        }
        if (isNew) {
            takeovers += new Set(Object.values(world.holders)).size > 1 ? 1 : 0;
            lostAnswers += world.flights.some(isAnswerLost) ? 1 : 0;
        }
        if (depthLeft > 0) {
            listNextWorlds(world, options).forEach(([name, next]) => visit(next, depthLeft - 1, [...path, name]));
        }
    };
    visit({ nowMs: 0, nodes, stored: undefined, flights: [], writes: 0, holders: {} }, options.depth, []);
    return { states: reached.size, violations, takeovers, lostAnswers };
}

function listNextWorlds(world: World, options: ExplorationOptions): readonly (readonly [string, World])[] {
    const steps = world.nodes.flatMap((_state, node) => takeStep(world, node, options));
    const flights = world.flights.flatMap((flight, index) => advanceFlight(world, flight, index, options));
    return [["time", { ...world, nowMs: world.nowMs + 1 }], ...steps, ...flights];
}

function takeStep(world: World, node: number, options: ExplorationOptions): (readonly [string, World])[] {
    const state = world.nodes[node];
    const isWaiting = world.flights.some(flight => flight.node === node && !flight.isAbandoned);
    if (state === undefined || isWaiting) {
        return [];
    }
    const step = decideStep(state, world.nowMs, options);
    if (step.kind === LeaseStepKind.Wait) {
        return [[`n${node} reads`, readRow(world, node, state)]];
    }
    if (step.kind === LeaseStepKind.Read) {
        return [[`n${node} reads`, readRow(world, node, state)]];
    }
    const write = sendRow(world, node, state, step.row, step.expectedVersion);
    const { held } = state;
    return held === undefined
        ? [write]
        : [write, sendRow(world, node, state, { ...step.row, holderId: undefined }, held.rowVersion)];
}

function sendRow(
    world: World,
    node: number,
    state: LeaseState,
    row: LeaseRow,
    expectedVersion: number | undefined,
): readonly [string, World] {
    const token = `w${world.writes}`;
    const sent = recordLeaseWrite(state, { token, sentAtMs: world.nowMs, row, expectedVersion });
    const flight = { node, token, row, expectedVersion, isAbandoned: false };
    const next = { ...withNode(world, node, sent), flights: [...world.flights, flight], writes: world.writes + 1 };
    return [`n${node} writes ${row.holderId ?? "a release"}, epoch ${row.epoch}`, next];
}

function decideStep(state: LeaseState, nowMs: number, options: ExplorationOptions): LeaseStep {
    const step = decideLeaseStep(state, nowMs);
    return step.kind === LeaseStepKind.Wait && options.takesOverAtOnce ? decideLeaseStep(state, nowMs + 1_000) : step;
}

function readRow(world: World, node: number, state: LeaseState): World {
    const { stored } = world;
    const read = stored && { row: stored.row, rowVersion: stored.version, token: stored.token };
    return withNode(world, node, applyLeaseRead(state, read, world.nowMs));
}

/** Lists what can happen to a write: the store processes it, its answer arrives, or the node stops waiting for it. */
function advanceFlight(
    world: World,
    flight: InFlightWrite,
    index: number,
    options: ExplorationOptions,
): (readonly [string, World])[] {
    const replaceFlight = (next: InFlightWrite | undefined): readonly InFlightWrite[] =>
        world.flights.flatMap((other, position) => (position === index ? (next ?? []) : other));
    const next: (readonly [string, World])[] = [];
    if (flight.answer === undefined) {
        const processed = applyAtStore(world, flight);
        next.push([
            `store processes ${flight.token}`,
            { ...processed.world, flights: replaceFlight(flight.isAbandoned ? undefined : processed.flight) },
        ]);
    }
    const state = world.nodes[flight.node];
    if (state === undefined || flight.isAbandoned) {
        return next;
    }
    if (flight.answer !== undefined) {
        const { outcome, rowVersion } = flight.answer;
        const timedState = options.countsFromAnswer ? replaceSentTime(state, world.nowMs) : state;
        const answered = applyLeaseAnswer(timedState, flight.token, outcome, { rowVersion, nowMs: world.nowMs });
        next.push([
            `n${flight.node} receives the answer`,
            { ...withNode(world, flight.node, answered), flights: replaceFlight(undefined) },
        ]);
    }
    const timedOut = applyLeaseAnswer(state, flight.token, LeaseWriteOutcome.Unknown, { nowMs: world.nowMs });
    const abandoned = flight.answer === undefined ? { ...flight, isAbandoned: true } : undefined;
    next.push([
        `n${flight.node} times out`,
        { ...withNode(world, flight.node, timedOut), flights: replaceFlight(abandoned) },
    ]);
    return next;
}

function applyAtStore(world: World, flight: InFlightWrite): { readonly world: World; readonly flight: InFlightWrite } {
    const { stored } = world;
    if (stored?.version !== flight.expectedVersion) {
        return { world, flight: { ...flight, answer: { outcome: LeaseWriteOutcome.Conflict } } };
    }
    const version = (stored?.version ?? 0) + 1;
    const holderId = flight.row.holderId ?? world.nodes[flight.node]?.terms.holderId ?? "";
    const known = world.holders[flight.row.epoch];
    const holders = {
        ...world.holders,
        [flight.row.epoch]: known === undefined ? holderId : joinHolders(known, holderId),
    };
    return {
        world: { ...world, stored: { row: flight.row, version, token: flight.token }, holders },
        flight: { ...flight, answer: { outcome: LeaseWriteOutcome.Accepted, rowVersion: version } },
    };
}

function joinHolders(known: string, holderId: string): string {
    return known === holderId ? known : `${known}+${holderId}`;
}

function findViolation(world: World): string | undefined {
    const acting = world.nodes.filter(state => isLeaseHeld(state, world.nowMs, 0));
    if (acting.length > 1) {
        return "two holders at once";
    }
    return Object.values(world.holders).some(holder => holder.includes("+")) ? "two holders in one epoch" : undefined;
}

function isAnswerLost(flight: InFlightWrite): boolean {
    return flight.isAbandoned;
}

function replaceSentTime(state: LeaseState, nowMs: number): LeaseState {
    return { ...state, sent: state.sent.map(write => ({ ...write, sentAtMs: nowMs })) };
}

function withNode(world: World, node: number, state: LeaseState): World {
    return { ...world, nodes: world.nodes.map((other, index) => (index === node ? state : other)) };
}

function describeWorld(world: World): string {
    return JSON.stringify([world.nowMs, world.nodes, world.stored, world.flights]);
}
