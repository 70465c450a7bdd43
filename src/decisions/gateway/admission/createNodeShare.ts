/**
 * @module The share of a service's capacity that a node may use.
 */

/** Requests that arrive in a time, refused ones included. */
export interface NodeDemand {
    readonly own: number;
    /** Those at all nodes; `undefined` without recent state reports. */
    readonly fleet: number | undefined;
    /** Number of nodes, as last known. */
    readonly nodes: number;
}

/** Half-life of the averages; shares that follow each report let seats move to and fro between nodes. */
const HALF_LIFE_MS = 1_000;

/** The share of one service. */
export interface NodeShare {
    /** Takes the present demand in, and gives the share: a number from 0 to 1. */
    observeDemand(demand: NodeDemand, nowMs: number): number;
}

/**
 * Creates the share of a node: by its part of the fleet's recent arrivals. Those in progress would be the wrong measure:
 * a node with few seats refuses more, and has therefore fewer of them. Without state reports
 * it is by the number of nodes. The shares of all nodes add up to about 1, also while their reports are old.
 *
 * @returns The share
 * @example
 * share.observeDemand({ own: 4, fleet: 20, nodes: 6 }, nowMs);
 */
export function createNodeShare(): NodeShare {
    let average: { readonly own: number; readonly fleet: number; readonly atMs: number } | undefined;
    return {
        observeDemand: ({ own, fleet, nodes }, nowMs) => {
            const equal = 1 / Math.max(1, nodes);
            if (fleet === undefined) {
                average = undefined;
                return equal;
            }
            const before = average ?? { own, fleet, atMs: nowMs };
            const weight = 1 - 0.5 ** ((nowMs - before.atMs) / HALF_LIFE_MS);
            average = {
                own: before.own + weight * (own - before.own),
                fleet: before.fleet + weight * (fleet - before.fleet),
                atMs: nowMs,
            };
            return Math.min(1, Math.max(1, average.own) / Math.max(1, average.own, average.fleet));
        },
    };
}
