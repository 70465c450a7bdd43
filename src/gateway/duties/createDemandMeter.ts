/**
 * @module Measures the load that this node puts on each service.
 */
import type { Clock } from "../../base/clock";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "../../decisions/gateway/slidingWindowCounter";
import type { ServiceLoad } from "../../decisions/relays/news";

const WINDOW_MS = 4_000;
const MS_PER_S = 1_000;

/** Measures the loads of a node. */
export interface DemandMeter {
    /** Adds the prompt of a request that is sent to the service for the first time. */
    recordArrival(service: string, uncachedTokens: number): void;
    /** Adds `change` to the number of requests in progress. */
    recordInFlight(service: string, change: number): void;
    /** Gives the load by service. */
    readLoads(): Readonly<Record<string, ServiceLoad>>;
}

interface Meter {
    readonly tokens: SlidingWindowCounter;
    inFlight: number;
}

/**
 * Creates a meter, with all loads at zero.
 *
 * @param clock - Measures the rate
 * @returns The meter
 * @example
 * demand.recordArrival("assistant", 6_610);
 */
export function createDemandMeter(clock: Clock): DemandMeter {
    const meters = new Map<string, Meter>();
    const readMeter = (service: string): Meter => {
        const meter = meters.get(service) ?? {
            tokens: createSlidingWindowCounter(WINDOW_MS),
            inFlight: 0,
        };
        meters.set(service, meter);
        return meter;
    };
    return {
        recordArrival: (service, uncachedTokens) => {
            const nowMs = clock.readMonotonicMs();
            readMeter(service).tokens.add(uncachedTokens, nowMs);
        },
        recordInFlight: (service, change) => {
            readMeter(service).inFlight += change;
        },
        readLoads: () => {
            const nowMs = clock.readMonotonicMs();
            const computePerSecond = (count: SlidingWindowCounter) =>
                Math.round((count.sum(nowMs) * MS_PER_S) / WINDOW_MS);
            return Object.fromEntries(
                [...meters].map(([service, { tokens, inFlight }]) => [
                    service,
                    { tokensPerSecond: computePerSecond(tokens), inFlight },
                ]),
            );
        },
    };
}
