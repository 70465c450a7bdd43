/**
 * @module Sums the news of several nodes or failure domains.
 */
import type { EndpointActivity, NewsSums, ServiceLoad, UsageSums } from "./news";

/** Sums of news that is only valid while its nodes are reachable; evidence outlasts them. */
export type ReachableSums = Omit<NewsSums, "suspects" | "rollouts" | "limits">;

/**
 * Sums news by account, service and endpoint.
 *
 * @param parts - The news of distinct nodes, or of distinct groups of nodes
 * @returns Their sums; the time of counting is the longest one
 * @example
 * sumNews([...reports.values()]).usage["county"]?.used;
 */
export function sumNews(parts: readonly ReachableSums[]): ReachableSums {
    const arrivals = parts.flatMap(part => (part.arrivals === undefined ? [] : [part.arrivals]));
    return {
        ...(arrivals.length === 0 ? {} : { arrivals: sumAmounts(arrivals) }),
        countsForMs: Math.max(0, ...parts.map(part => part.countsForMs)),
        usage: sumRecords(
            parts.map(part => part.usage),
            addUsage,
        ),
        loads: sumRecords(
            parts.map(part => part.loads),
            addLoad,
        ),
        endpoints: sumRecords(
            parts.map(part => part.endpoints),
            addActivity,
        ),
    };
}

/**
 * Sums records of values by key.
 *
 * @param records - The records
 * @param add - Adds two values
 * @returns The sum of all values of each key
 * @example
 * sumRecords([{ county: 2 }, { county: 3 }], (left, right) => left + right); //=> { county: 5 }
 */
export function sumRecords<T>(
    records: readonly Readonly<Record<string, T>>[],
    add: (left: T, right: T) => T,
): Readonly<Record<string, T>> {
    const sums: Record<string, T> = {};
    for (const record of records) {
        for (const [key, value] of Object.entries(record)) {
            const sum = sums[key];
            sums[key] = sum === undefined ? value : add(sum, value);
        }
    }
    return sums;
}

/**
 * Sums amounts by key.
 *
 * @param records - The amounts
 * @returns The sum of all amounts of each key
 * @example
 * sumAmounts([{ county: 2 }, { county: 3 }]); //=> { county: 5 }
 */
export function sumAmounts(records: readonly Readonly<Record<string, number>>[]): Readonly<Record<string, number>> {
    return sumRecords(records, (left, right) => left + right);
}

function addUsage(left: UsageSums, right: UsageSums): UsageSums {
    return { used: left.used + right.used, recent: left.recent + right.recent, asked: left.asked + right.asked };
}

function addLoad(left: ServiceLoad, right: ServiceLoad): ServiceLoad {
    return {
        tokensPerSecond: left.tokensPerSecond + right.tokensPerSecond,
        inFlight: left.inFlight + right.inFlight,
    };
}

function addActivity(left: EndpointActivity, right: EndpointActivity): EndpointActivity {
    return {
        inFlight: left.inFlight + right.inFlight,
        pendingTokens: left.pendingTokens + right.pendingTokens,
    };
}
