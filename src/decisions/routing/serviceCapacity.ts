/**
 * @module What routing tells admission about the endpoints of a service.
 */

/** What this node can use of a service now. Times are milliseconds, costs millionths of the currency. */
export interface ServiceCapacity {
    /** Endpoints that may receive work. */
    readonly liveEndpoints: number;
    /** Further requests that this node may send now without making a queue inside the endpoints. */
    readonly freeSlots: number;
    /** Requests that this node may have in progress at once when the endpoints serve nobody else. */
    readonly totalSlots: number;
    /** Time to the first token at the best endpoint, without prefill. */
    readonly bestFirstTokenMs: number;
    /** Prefill speed of one endpoint, in tokens a second. */
    readonly prefillTokensPerSecond: number;
    /** Time that 95 in 100 first tokens came later than estimated, at most. */
    readonly estimateErrorMs: number;
    /** Cost per 1,000 tokens (per call for application runners) at the cheapest live endpoint. */
    readonly cheapestCostMicros: number;
}

/** Where admission reads the capacity. The answer is at most some milliseconds old. */
export interface CapacitySource {
    /** Reads what this node can use of a service now. */
    readCapacity(serviceName: string): ServiceCapacity;
}
