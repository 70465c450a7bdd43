/**
 * @module Lists the endpoints that take requests of a service.
 */
import { filterPlaceable } from "../../decisions/gateway/filterPlaceable";
import { filterServable } from "../../decisions/gateway/filterServable";
import type { EndpointRecord } from "../endpoints/endpointRecord";
import type { GatewayComponents } from "../gatewayComponents";
import { computeTakeWaitMs } from "./computeTakeWaitMs";

/** What the endpoints are listed from. */
export type TakerSources = Pick<
    GatewayComponents,
    "settings" | "directory" | "evacuations" | "limits" | "coldEndpoints"
>;

/** Which endpoints a request may go to. */
export interface TakerRules {
    /** `undefined`: any model. */
    readonly model: string | undefined;
    /** `undefined`: all regions. */
    readonly homeRegions: readonly string[] | undefined;
}

/**
 * Lists the endpoints that are within reach, aren't evacuated and take requests now.
 *
 * @param sources - The endpoints, and what keeps them from taking requests
 * @param service - Name of the service
 * @param rules - Which of them a request may go to
 * @param nowMs - Monotonic time
 * @returns The endpoints
 * @example
 * listTakers(components, "assistant", { model: undefined, homeRegions: undefined }, nowMs);
 */
export function listTakers(
    sources: TakerSources,
    service: string,
    { model, homeRegions }: TakerRules,
    nowMs: number,
): readonly EndpointRecord[] {
    const { directory, evacuations, settings } = sources;
    const usable = filterServable(directory.listUsable(service), model);
    const rules = { homeRegions, evacuated: evacuations.readDomains(), regions: settings.regions };
    return filterPlaceable(usable, rules).filter(
        record => record.suspectUntilMs <= nowMs && computeTakeWaitMs(sources, record, nowMs) === 0,
    );
}
