/**
 * @module Exhaustive exploration of two nodes that want the same lease, for tests.
 *
 * At each point every next thing that can happen is tried: a node takes its next step at the store, the store takes in a
 * write, an answer arrives or is lost, or time passes. A node that takes no step for some time is a paused node.
 */
import { applyLeaseAnswer, applyLeaseRead, isLeaseHeld, recordLeaseWrite } from "../applyLeaseEvents";
import { createLeaseState } from "../createLeaseState";
import { decideLeaseStep } from "../decideLeaseStep";
import { type LeaseRow, type LeaseState, type LeaseStep, LeaseStepKind, LeaseWriteOutcome } from "../leaseState";

/** How far and what to explore. The faulty variants show that the exploration finds faults. */
export interface ExplorationOptions {
    /** Number of things that happen one after the other. */
    readonly depth: number;
    readonly durationMs: number;
    readonly marginMs: number;
    /** A faulty lease that counts from the answer instead of from before the write. */
    readonly countsFromAnswer?: boolean;
    /** A faulty lease that does not wait for the earlier one to lapse. */
    readonly takesOverAtOnce?: boolean;
}

/** What the exploration found. */
export interface Exploration {
    /** Different points reached. */
    readonly states: number;
    /** What was wrong, with the events that led there. */
    readonly violations: readonly string[];
    /** Points at which a lease had passed from one node to the other. */
    readonly takeovers: number;
    /** Writes that took effect and whose answer was lost. */
    readonly lostAnswers: number;
}

interface StoredRow {
    readonly row: LeaseRow;
    readonly version: number;
    readonly token: string;
}

/** A write on its way to the store, or an answer on its way back. */
interface Flight {
    readonly node: number;
    readonly token: string;
    readonly row: LeaseRow;
    readonly expectedVersion: number | undefined;
    /** Set once the store has decided; the answer is then on its way. */
    readonly answer?: { readonly outcome: LeaseWriteOutcome; readonly rowVersion?: number };
    /** True once the node has given up waiting; an effect may still come. */
    readonly isAbandoned: boolean;
}

interface World {
    readonly nowMs: number;
    readonly nodes: readonly LeaseState[];
    readonly stored: StoredRow | undefined;
    readonly flights: readonly Flight[];
    readonly writes: number;
    /** Holder of each epoch, by what the store accepted. */
    readonly holders: Readonly<Record<number, string>>;
}

/** Explores every order of events to the depth given. */
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
        const fault = findFault(world);
        if (fault !== undefined) {
            violations.push(`${fault}: ${path.join(", ")}`);
            return;
        }
        if (isNew) {
            takeovers += new Set(Object.values(world.holders)).size > 1 ? 1 : 0;
            lostAnswers += world.flights.some(isLostEffect) ? 1 : 0;
        }
        if (depthLeft > 0) {
            listNext(world, options).forEach(([name, next]) => visit(next, depthLeft - 1, [...path, name]));
        }
    };
    visit({ nowMs: 0, nodes, stored: undefined, flights: [], writes: 0, holders: {} }, options.depth, []);
    return { states: reached.size, violations, takeovers, lostAnswers };
}

function listNext(world: World, options: ExplorationOptions): readonly (readonly [string, World])[] {
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

/** What can happen to a write: the store decides, the answer arrives, or the node gives up waiting for it. */
function advanceFlight(
    world: World,
    flight: Flight,
    index: number,
    options: ExplorationOptions,
): (readonly [string, World])[] {
    const replaceFlight = (next: Flight | undefined): readonly Flight[] =>
        world.flights.flatMap((other, position) => (position === index ? (next ?? []) : other));
    const next: (readonly [string, World])[] = [];
    if (flight.answer === undefined) {
        const decided = decideAtStore(world, flight);
        next.push([
            `store takes ${flight.token}`,
            { ...decided.world, flights: replaceFlight(flight.isAbandoned ? undefined : decided.flight) },
        ]);
    }
    const state = world.nodes[flight.node];
    if (state === undefined || flight.isAbandoned) {
        return next;
    }
    if (flight.answer !== undefined) {
        const { outcome, rowVersion } = flight.answer;
        const counted = options.countsFromAnswer ? moveSentTime(state, world.nowMs) : state;
        const answered = applyLeaseAnswer(counted, flight.token, outcome, { rowVersion, nowMs: world.nowMs });
        next.push([
            `n${flight.node} hears`,
            { ...withNode(world, flight.node, answered), flights: replaceFlight(undefined) },
        ]);
    }
    const unsure = applyLeaseAnswer(state, flight.token, LeaseWriteOutcome.Unknown, { nowMs: world.nowMs });
    const left = flight.answer === undefined ? { ...flight, isAbandoned: true } : undefined;
    next.push([
        `n${flight.node} hears nothing`,
        { ...withNode(world, flight.node, unsure), flights: replaceFlight(left) },
    ]);
    return next;
}

function decideAtStore(world: World, flight: Flight): { readonly world: World; readonly flight: Flight } {
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

function findFault(world: World): string | undefined {
    const acting = world.nodes.filter(state => isLeaseHeld(state, world.nowMs, 0));
    if (acting.length > 1) {
        return "two holders at once";
    }
    return Object.values(world.holders).some(holder => holder.includes("+")) ? "two holders of one epoch" : undefined;
}

function isLostEffect(flight: Flight): boolean {
    return flight.isAbandoned;
}

function moveSentTime(state: LeaseState, nowMs: number): LeaseState {
    return { ...state, sent: state.sent.map(write => ({ ...write, sentAtMs: nowMs })) };
}

function withNode(world: World, node: number, state: LeaseState): World {
    return { ...world, nodes: world.nodes.map((other, index) => (index === node ? state : other)) };
}

function describeWorld(world: World): string {
    return JSON.stringify([world.nowMs, world.nodes, world.stored, world.flights]);
}
