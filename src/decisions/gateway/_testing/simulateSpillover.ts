/**
 * @module Simulates nodes and endpoints of six failure domains in three regions as flows, without a network.
 */
import { computeDomainShares } from "../computeDomainShares";
import { decideSpillover, type DomainLoad, NO_SPILLOVER, type Spillover } from "../decideSpillover";
import { estimateFirstPartMs } from "../chooseEndpoint";

const DOMAINS = 6;
const NODES_PER_DOMAIN = 5;
const SERVICE_MS = 40;
const STEP_MS = 10;
const DECISION_MS = 100;
const REPORT_MS = 250;
const REPORT_AGE_MIN_MS = 250;
const REQUEST_BYTES = 20_000;
const NO_PROMPT = { promptTokens: 0, promptParts: [] };

/** How the failure domain of a request is chosen. */
export enum DomainChoice {
    /** By the lowest estimate with a constant penalty for the distance. */
    Penalty = "penalty",
    Spillover = "spillover",
}

/** What is simulated. */
export interface SpilloverSimulation {
    readonly choice: DomainChoice;
    readonly durationMs: number;
    readonly objectiveMs: number;
    /** Demand of a failure domain's callers at a time, as a share of the capacity of its endpoints. */
    readonly readDemand: (domain: number, nowMs: number) => number;
    /** Slots of a failure domain at a time. */
    readonly readSlots: (domain: number, nowMs: number) => number;
    readonly isFresh: (nowMs: number) => boolean;
}

/** What came of it. */
export interface SpilloverResult {
    /** Share of the requests of the first failure domain that went to others, averaged per second. */
    readonly shares: readonly number[];
    /** Changes of direction of that share, by more than a hundredth each. */
    readonly turns: number;
    readonly bytesBetweenDomains: number;
    /** Share of all requests that were expected to be answered within the objective when they were sent. */
    readonly onTimeShare: number;
}

interface SimulatedNode {
    readonly domain: number;
    spillover: Spillover;
    /** What the others have in progress in each failure domain, by the last report, and what the node itself has. */
    seen: readonly number[];
    readonly own: number[];
    readonly atMs: number;
}

/** Runs the simulation. */
export function simulateSpillover(options: SpilloverSimulation): SpilloverResult {
    const inFlight = Array.from({ length: DOMAINS }, () => 0);
    const history: { readonly all: readonly number[]; readonly own: readonly (readonly number[])[] }[] = [];
    const nodes = Array.from({ length: DOMAINS * NODES_PER_DOMAIN }, (_unused, index): SimulatedNode => ({
        domain: index % DOMAINS,
        spillover: NO_SPILLOVER,
        seen: inFlight.slice(),
        own: inFlight.slice(),
        atMs: (index * 37) % REPORT_MS,
    }));
    const shares: number[] = [];
    let [sent, spilled, sentAll, onTime, bytes] = [0, 0, 0, 0, 0];
    const estimateMs = (load: number, slots: number, from: number, to: number) =>
        slots === 0
            ? Number.POSITIVE_INFINITY
            : estimateFirstPartMs(
                  {
                      roundTripMs: computeRoundTripMs(from, to),
                      slots,
                      occupancy: load,
                      pendingTokens: 0,
                      cachedTokens: 0,
                  },
                  NO_PROMPT,
                  { serviceMs: SERVICE_MS, tokensPerMs: 40 },
              );
    /**
     * Lists what a node knows of the load of each failure domain: of those in other regions only the sum, which it
     * divides by their slots.
     */
    const listSeen = (node: SimulatedNode, nowMs: number): readonly number[] => {
        const far: readonly number[] = inFlight.map((_unused, domain) => (isSameRegion(domain, node.domain) ? 0 : 1));
        const loads = node.seen.map((load, domain) => load + (node.own[domain] ?? 0));
        const farLoad = loads.reduce((sum, load, domain) => sum + load * (far[domain] ?? 0), 0);
        const farSlots = far.reduce((sum, isFar, domain) => sum + isFar * options.readSlots(domain, nowMs), 0);
        return loads.map((load, domain) =>
            far[domain] === 1 ? (farLoad * options.readSlots(domain, nowMs)) / Math.max(1, farSlots) : load,
        );
    };
    const describeLoads = (node: SimulatedNode, nowMs: number): readonly DomainLoad[] => {
        const seen = listSeen(node, nowMs);
        return inFlight.map((_unused, domain) => {
            const slots = options.readSlots(domain, nowMs);
            const load = seen[domain] ?? 0;
            return {
                domain: String(domain),
                isSameRegion: isSameRegion(domain, node.domain),
                slots,
                inFlight: load,
                ownInFlight: node.own[domain] ?? 0,
                expectedMs: estimateMs(load, slots, node.domain, domain),
                estimateInFlight: expectedMs => {
                    const findLoad = (low: number, high: number, steps: number): number => {
                        const middle = (low + high) / 2;
                        if (steps === 0) {
                            return middle;
                        }
                        const isLess = estimateMs(middle, slots, node.domain, domain) < expectedMs;
                        return isLess ? findLoad(middle, high, steps - 1) : findLoad(low, middle, steps - 1);
                    };
                    return findLoad(0, slots * 64, 14);
                },
            };
        });
    };
    /** Gives the failure domains that a node's requests go to, with their shares. */
    const listTargets = (node: SimulatedNode, nowMs: number): readonly (readonly [number, number])[] => {
        const loads = describeLoads(node, nowMs);
        const own = loads[node.domain];
        if (options.choice === DomainChoice.Spillover && own !== undefined && own.slots > 0) {
            const used = new Map(node.own.map((load, domain) => [String(domain), load]));
            const shares = [...computeDomainShares(node.spillover, String(node.domain), used)];
            const left = shares.reduce((sum, [, share]) => sum + share, 0);
            return [[node.domain, 1 - left], ...shares.map(([domain, share]) => [Number(domain), share] as const)];
        }
        const costs = loads.map(({ expectedMs }, domain) => expectedMs + computePenaltyMs(node.domain, domain));
        return [[costs.indexOf(Math.min(...costs)), 1]];
    };
    for (let nowMs = 0; nowMs < options.durationMs; nowMs += STEP_MS) {
        history.push({ all: inFlight.slice(), own: nodes.map(({ own }) => own.slice()) });
        for (const [index, node] of nodes.entries()) {
            if ((nowMs + node.atMs) % REPORT_MS < STEP_MS && options.isFresh(nowMs)) {
                const ageMs = REPORT_AGE_MIN_MS + ((node.atMs * 7) % (2 * REPORT_MS - REPORT_AGE_MIN_MS + 50));
                const past = history[Math.max(0, history.length - 1 - Math.round(ageMs / STEP_MS))];
                node.seen = past?.all.map((load, domain) => load - (past.own[index]?.[domain] ?? 0)) ?? node.seen;
            }
            if ((nowMs + node.atMs) % DECISION_MS < STEP_MS && options.choice === DomainChoice.Spillover) {
                const loads = describeLoads(node, nowMs);
                const own = loads[node.domain];
                if (own !== undefined) {
                    node.spillover = decideSpillover(node.spillover, {
                        nowMs,
                        isFresh: options.isFresh(nowMs),
                        objectiveMs: options.objectiveMs,
                        nodesPerDomain: NODES_PER_DOMAIN,
                        own,
                        others: loads.filter(load => load !== own),
                    });
                }
            }
            const capacity = (100 / SERVICE_MS) * STEP_MS;
            const requests = (options.readDemand(node.domain, nowMs) * capacity) / NODES_PER_DOMAIN;
            for (const [domain, share] of listTargets(node, nowMs)) {
                const isAway = domain !== node.domain;
                const count = requests * share;
                const slots = options.readSlots(domain, nowMs);
                // A request waits until those before it have left the queue.
                const waitMs =
                    slots === 0 ? Infinity : (Math.max(0, (inFlight[domain] ?? 0) - slots) * SERVICE_MS) / slots;
                const answeredMs = SERVICE_MS + waitMs + computeRoundTripMs(node.domain, domain);
                sentAll += count;
                onTime += answeredMs <= options.objectiveMs ? count : 0;
                bytes += isAway ? count * REQUEST_BYTES : 0;
                inFlight[domain] = (inFlight[domain] ?? 0) + count;
                node.own[domain] = (node.own[domain] ?? 0) + count;
                sent += node.domain === 0 ? count : 0;
                spilled += node.domain === 0 && isAway ? count : 0;
            }
        }
        inFlight.forEach((load, domain) => {
            const busy = Math.min(load, options.readSlots(domain, nowMs));
            const endedShare = load > 0 ? ((busy / load) * STEP_MS) / SERVICE_MS : 0;
            inFlight[domain] = load * (1 - endedShare);
            nodes.forEach(({ own }) => {
                own[domain] = (own[domain] ?? 0) * (1 - endedShare);
            });
        });
        if ((nowMs + STEP_MS) % 1_000 === 0) {
            shares.push(sent === 0 ? 0 : spilled / sent);
            [sent, spilled] = [0, 0];
        }
    }
    return { shares, turns: countTurns(shares), bytesBetweenDomains: bytes, onTimeShare: onTime / sentAll };
}

function isSameRegion(left: number, right: number): boolean {
    return Math.floor(left / 2) === Math.floor(right / 2);
}

function computeRoundTripMs(from: number, to: number): number {
    return from === to ? 0 : isSameRegion(from, to) ? 2 : 60;
}

function computePenaltyMs(from: number, to: number): number {
    return from === to ? 0 : isSameRegion(from, to) ? 5 : 20;
}

function countTurns(values: readonly number[]): number {
    let [turns, direction, extreme] = [0, 0, values[0] ?? 0];
    for (const value of values) {
        if (Math.abs(value - extreme) > 0.01) {
            const next = Math.sign(value - extreme);
            turns += direction !== 0 && next !== direction ? 1 : 0;
            direction = next;
            extreme = value;
        } else if (direction !== 0 && Math.sign(value - extreme) === direction) {
            extreme = value;
        }
    }
    return turns;
}
