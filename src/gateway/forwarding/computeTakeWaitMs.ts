/**
 * @module Computes when an endpoint takes a request again.
 */
import type { EndpointRecord } from "../endpoints/endpointRecord";
import type { GatewayComponents } from "../gatewayComponents";

/**
 * Computes the time until an endpoint takes a request, by what it has said in its answers.
 *
 * @param components - The limits of endpoints
 * @param record - The endpoint
 * @param nowMs - Monotonic time
 * @returns Milliseconds; 0 if it takes one now, infinite if that is unknown
 * @example
 * const open = records.filter(record => computeTakeWaitMs(components, record, nowMs) === 0);
 */
export function computeTakeWaitMs(
    { limits, coldEndpoints }: Pick<GatewayComponents, "limits" | "coldEndpoints">,
    record: EndpointRecord,
    nowMs: number,
): number {
    return Math.max(
        0,
        record.refusedUntilMs - nowMs,
        limits.computeWaitMs(record),
        coldEndpoints.computeWaitMs(record),
    );
}
