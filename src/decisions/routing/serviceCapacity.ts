/**
 * @module The capacity of a service, which routing provides to admission.
 */

/** The capacity of a service that this node can currently use. */
export interface ServiceCapacity {
    /** Number of endpoints that may receive requests. */
    readonly liveEndpoints: number;
    /** Attempts of this node in progress at the service. */
    readonly ownInFlight: number;
    /** Further requests that this node may send now without causing a long queue inside the endpoints. */
    readonly freeSlots: number;
    /** Time to the first token at the best endpoint without the prefill, in milliseconds. */
    readonly bestFirstTokenMs: number;
    /** Prefill speed of one endpoint, in tokens a second. */
    readonly prefillTokensPerSecond: number;
    /** Time between tokens of one stream, in milliseconds. */
    readonly tokenGapMs: number;
    /** Estimated 95th percentile of how much later than estimated first tokens arrive, in milliseconds. */
    readonly estimateErrorMs: number;
}

/** The interface through which admission reads the capacity and reports demand. */
export interface CapacitySource {
    /**
     * Reads the capacity of a service that this node can currently use.
     *
     * @param costCeilingMicros - Endpoints that cost more, in millionths of the currency per 1,000 tokens (per call for
     *     application runners), don't count
     */
    readCapacity(serviceName: string, costCeilingMicros: number): ServiceCapacity;
    /**
     * Finds the lowest cost, in millionths of the currency per 1,000 tokens (per call for application runners), among
     * the endpoints that meet a latency target when idle; `undefined` if none does.
     */
    findCostAtTarget(serviceName: string, promptTokens: number, targetMs: number): number | undefined;
    /** Counts an arriving request, whether or not it will be admitted. */
    recordDemand(serviceName: string, costTokens: number): void;
}
