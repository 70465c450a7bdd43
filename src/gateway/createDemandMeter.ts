/**
 * @module The load that this node puts on each service.
 */
import type { Clock } from "../base/clock";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "../decisions/gateway/slidingWindowCounter";

const WINDOW_MS = 4_000;
const MS_PER_S = 1_000;

/** Load of one node on one service. */
export interface ServiceLoad {
    /** Prompt tokens to be read for the requests that arrived, cached ones left out as far as they are known. */
    readonly tokensPerSecond: number;
    readonly inFlight: number;
}

/** The loads of a node. */
export interface DemandMeter {
    recordArrival(service: string, uncachedTokens: number): void;
    recordInFlight(service: string, change: number): void;
    readLoads(): Readonly<Record<string, ServiceLoad>>;
}

interface Meter {
    readonly tokens: SlidingWindowCounter;
    inFlight: number;
}

/**
 * Creates a meter without load.
 *
 * @param clock - Its clock
 * @returns The meter
 * @example
 * demand.recordArrival("newsdesk-llm", 6_610);
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
