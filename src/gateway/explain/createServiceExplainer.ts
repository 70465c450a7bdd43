/**
 * @module Explains which endpoint of a service a request would go to.
 */
import { estimateResponseMs } from "../../decisions/gateway/chooseEndpoint";
import { explainEstimate } from "../../decisions/gateway/explainEstimate";
import { RolloutPhase } from "../../model/gateway";
import { buildEndpointView, type EndpointRecord } from "../endpoints/endpointRecord";
import type { NoCandidate, PickState } from "../forwarding/createCandidatePicker";
import type { SpilloverControl } from "../forwarding/createSpillover";
import type { GatewayComponents } from "../gatewayComponents";
import { createPickExplainer, type PickOutcome } from "./createPickExplainer";
import { explainFilter, type FilterExplanation } from "./explainFilter";
import type { ExplainedCandidate, ServiceExplanation } from "./explanation";

/** What would happen to a request for one service. */
export interface ExplainedService {
    readonly explanation: Omit<ServiceExplanation, "chance">;
    /** Present if no endpoint takes the request. */
    readonly noCandidate: NoCandidate | undefined;
}

/** Explains where a request for a service would go; at most `candidatesMax` endpoints are given in full. */
export type ServiceExplainer = (state: PickState, candidatesMax: number) => ExplainedService;

/** The key of `counts` for endpoints without a filter. */
const OPEN = "open";

/** An endpoint of the service, with what orders the list. */
interface Found extends FilterExplanation {
    readonly record: EndpointRecord;
    readonly chance: number;
    readonly isPreferred: boolean;
    readonly estimateMs: number;
}

/**
 * Creates the explainer, which changes nothing.
 *
 * @param components - The components of the gateway
 * @param spillover - That of the forwarder
 * @returns The explainer
 * @example
 * explainService(state, 64).explanation.chosen?.endpointId;
 */
export function createServiceExplainer(
    components: GatewayComponents,
    spillover: Pick<SpilloverControl, "explainDomains">,
): ServiceExplainer {
    const { directory, speeds, clock, settings, rollouts } = components;
    const explainPick = createPickExplainer(components, spillover);

    const findEndpoint = (record: EndpointRecord, state: PickState, outcomes: readonly PickOutcome[]): Found => {
        const { request, exchange } = state;
        const chances = outcomes.flatMap(({ chance, endpoints }) => {
            const explained = endpoints.get(record.endpoint.id);
            return explained === undefined ? [] : [{ explained, chance: chance * explained.chance }];
        });
        const [likeliest] = [...chances].sort((left, right) => right.chance - left.chance);
        const view = buildEndpointView(record, request.promptParts, clock.readMonotonicMs());
        return {
            record,
            chance: chances.reduce((sum, { chance }) => sum + chance, 0),
            isPreferred: likeliest?.explained.isPreferred ?? false,
            estimateMs:
                likeliest?.explained.estimateMs ??
                // Which one all nodes prefer is known among candidates only.
                estimateResponseMs(view, request, speeds.readSpeed(exchange.service), false),
            ...explainFilter(record, { components, state, outcomes }),
        };
    };
    const buildCandidate = (found: Found, state: PickState): ExplainedCandidate => {
        const { record, chance, isPreferred, filter, waitMs } = found;
        const { endpoint } = record;
        const view = buildEndpointView(record, state.request.promptParts, clock.readMonotonicMs());
        const parts = explainEstimate(view, state.request, speeds.readSpeed(endpoint.service), isPreferred);
        return {
            endpointId: endpoint.id,
            failureDomain: endpoint.failureDomain,
            region: settings.regions[endpoint.failureDomain],
            version: endpoint.version,
            slots: view.slots,
            inProgress: view.occupancy,
            pace: view.pace,
            estimateMs: Object.values(parts).reduce((sum, part) => sum + part, 0),
            parts,
            isPreferred,
            filter,
            waitMs,
            chance,
        };
    };
    const explainRollout = (service: string): Pick<ServiceExplanation, "rollout"> => {
        const move = rollouts.listMoves().find(({ order }) => order.service === service);
        return move === undefined ? {} : { rollout: { target: move.order.target, phase: RolloutPhase[move.phase] } };
    };

    return (state, candidatesMax) => {
        const { service } = state.exchange;
        const outcomes = explainPick(state);
        const found = directory.readAll(service).map(record => findEndpoint(record, state, outcomes));
        const counts: Record<string, number> = {};
        found.forEach(({ filter = OPEN }) => (counts[filter] = (counts[filter] ?? 0) + 1));
        const sorted = [...found].sort(compareFound);
        const [best] = sorted;
        const shown = sorted.slice(0, candidatesMax);
        const explanation = {
            service,
            ...explainRollout(service),
            domains: outcomes.map(({ domain, chance, rule, endpoints }) => ({
                failureDomain: domain,
                chance,
                rule,
                endpoints: [...endpoints.values()].filter(endpoint => endpoint.chance > 0).length,
            })),
            chosen:
                best === undefined || best.chance === 0
                    ? undefined
                    : { endpointId: best.record.endpoint.id, chance: best.chance },
            counts,
            candidates: shown.map(endpoint => buildCandidate(endpoint, state)),
            omitted: sorted.length - shown.length,
        };
        return {
            explanation,
            noCandidate: outcomes.every(({ noCandidate }) => noCandidate !== undefined)
                ? outcomes[0]?.noCandidate
                : undefined,
        };
    };
}

/** Puts the greatest chance first, then candidates by their estimate, then what is left out. */
function compareFound(left: Found, right: Found): number {
    return (
        right.chance - left.chance ||
        Number(left.filter !== undefined) - Number(right.filter !== undefined) ||
        left.estimateMs - right.estimateMs
    );
}
