/**
 * @module What routing tells admission about the endpoints of a service.
 */

/** What this node can use of a service now. Times are milliseconds, costs millionths of the currency. */
export interface ServiceCapacity {
    /** Endpoints that may receive work. */
    readonly liveEndpoints: number;
    /** Attempts of this node in progress at the service. */
    readonly ownInFlight: number;
    /** Further requests that this node may send now without making a long queue inside the endpoints. */
    readonly freeSlots: number;
    /** Time to the first token at the best endpoint, without prefill. */
    readonly bestFirstTokenMs: number;
    /** Prefill speed of one endpoint, in tokens a second. */
    readonly prefillTokensPerSecond: number;
    /** Time between tokens of one stream, in milliseconds. */
    readonly tokenGapMs: number;
    /** Time by which 95 in 100 first tokens come later than estimated, at most. */
    readonly estimateErrorMs: number;
}

/** Where admission reads the capacity. */
export interface CapacitySource {
    /**
     * Reads what this node can use of a service now.
     *
     * @param costCeilingMicros - Endpoints that cost more per 1,000 tokens (per call for application runners) don't
     *     count
     */
    readCapacity(serviceName: string, costCeilingMicros: number): ServiceCapacity;
    /**
     * Finds the lowest cost per 1,000 tokens (per call) of the endpoints that meet a target when idle; `undefined` if
     * none does.
     */
    findCostAtTarget(serviceName: string, promptTokens: number, targetMs: number): number | undefined;
    /** Counts an arriving request, whether or not it will be admitted. */
    recordDemand(serviceName: string, costTokens: number): void;
}
