/**
 * @module Filters the endpoints that a request may be sent to by their place.
 */
import type { GatewayEndpoint } from "../../model/gateway";

/** Why an endpoint is left out. */
export enum PlacementBar {
    /** The operator evacuates its failure domain. */
    Evacuated = "evacuated",
    /** It isn't in a home region of the request. */
    OutsideHomeRegions = "outside_home_regions",
}

/** What decides where a request may go. */
export interface PlacementRules {
    /** Regions whose endpoints may get the request; `undefined`: all. An empty list allows none. */
    readonly homeRegions: readonly string[] | undefined;
    /** Failure domains that are evacuated. */
    readonly evacuated: ReadonlySet<string>;
    /** Region of each failure domain. */
    readonly regions: Readonly<Record<string, string>>;
}

/** What is needed of an endpoint to tell whether a request may go there. */
export type PlacedEndpoint = Pick<GatewayEndpoint, "failureDomain">;

/**
 * Filters the endpoints that a request may be sent to.
 *
 * @param records - The candidates
 * @param rules - What decides where the request may go
 * @returns Those that may get the request; the same list if nothing restricts it
 * @example
 * filterPlaceable(records, { homeRegions: ["east"], evacuated: new Set(), regions: { "east-1": "east" } });
 */
export function filterPlaceable<T extends { readonly endpoint: PlacedEndpoint }>(
    records: readonly T[],
    rules: PlacementRules,
): readonly T[] {
    return rules.homeRegions === undefined && rules.evacuated.size === 0
        ? records
        : records.filter(({ endpoint }) => explainPlacement(endpoint, rules) === undefined);
}

/**
 * Explains why a request may not be sent to an endpoint.
 *
 * @param endpoint - The endpoint
 * @param rules - What decides where the request may go
 * @returns The reason; `undefined` if the request may be sent there
 * @example
 * explainPlacement(endpoint, rules); //=> PlacementBar.OutsideHomeRegions
 */
export function explainPlacement(endpoint: PlacedEndpoint, rules: PlacementRules): PlacementBar | undefined {
    const { homeRegions, evacuated, regions } = rules;
    if (homeRegions !== undefined) {
        // An unknown failure domain is in no region, so it is outside.
        const region = Object.hasOwn(regions, endpoint.failureDomain) ? regions[endpoint.failureDomain] : undefined;
        if (region === undefined || !homeRegions.includes(region)) {
            return PlacementBar.OutsideHomeRegions;
        }
    }
    return evacuated.has(endpoint.failureDomain) ? PlacementBar.Evacuated : undefined;
}
