/**
 * @module Explains why an endpoint gets no request.
 */
import { explainPlacement } from "../../decisions/gateway/filterPlaceable";
import { explainUsability } from "../endpoints/createEndpointDirectory";
import type { EndpointRecord } from "../endpoints/endpointRecord";
import { PickStage, type PickState } from "../forwarding/createCandidatePicker";
import type { GatewayComponents } from "../gatewayComponents";
import type { PickOutcome } from "./createPickExplainer";
import { CandidateFilter, type ExplainedCandidate } from "./explanation";

/** Why an endpoint gets no request, and the time until it may get one where that is known. */
export type FilterExplanation = Pick<ExplainedCandidate, "filter" | "waitMs">;

type FilterComponents = Pick<
    GatewayComponents,
    "clock" | "settings" | "evacuations" | "rollouts" | "limits" | "coldEndpoints"
>;

/** What each step says of an endpoint that it leaves out, in the order of the steps. */
const STAGE_FILTERS: readonly (readonly [
    PickStage,
    (record: EndpointRecord, question: FilterQuestion) => FilterExplanation,
])[] = [
    [PickStage.Model, () => ({ filter: CandidateFilter.Model })],
    [
        PickStage.Placement,
        ({ endpoint }, { components: { settings, evacuations }, state }) => {
            const { homeRegions } = state.exchange;
            const rules = { homeRegions, evacuated: evacuations.readDomains(), regions: settings.regions };
            return { filter: explainPlacement(endpoint, rules) };
        },
    ],
    [PickStage.Tried, () => ({ filter: CandidateFilter.Tried })],
    [PickStage.Wait, (record, { components }) => explainWait(record, components)],
    [PickStage.Version, () => ({ filter: CandidateFilter.Version })],
    [
        PickStage.Reachable,
        ({ suspectUntilMs }, { components }) => ({
            filter: CandidateFilter.Unreachable,
            waitMs: Math.max(0, suspectUntilMs - components.clock.readMonotonicMs()),
        }),
    ],
    [
        PickStage.Domain,
        ({ endpoint }, { outcomes }) => {
            const isPossible = outcomes.some(({ domain }) => domain === undefined || domain === endpoint.failureDomain);
            return { filter: isPossible ? CandidateFilter.Failing : CandidateFilter.OtherDomain };
        },
    ],
    [PickStage.Occupancy, () => ({ filter: CandidateFilter.Busier })],
];

/** What the explanation is based on. */
export interface FilterQuestion {
    readonly components: FilterComponents;
    readonly state: PickState;
    readonly outcomes: readonly PickOutcome[];
}

/**
 * Explains why an endpoint gets no request, by the first step of the picker that leaves it out in each outcome.
 *
 * @param record - The endpoint
 * @param question - The request, and what the picker does with it
 * @returns The reason; nothing if the endpoint is a candidate
 * @example
 * explainFilter(record, { components, state, outcomes }).filter; //=> "model"
 */
export function explainFilter(record: EndpointRecord, question: FilterQuestion): FilterExplanation {
    const unusable = explainUsability(record);
    if (unusable !== undefined) {
        return { filter: unusable };
    }
    const isLeft = (stage: PickStage) =>
        question.outcomes.some(({ stages }) => stages.get(stage)?.has(record) === true);
    const found = STAGE_FILTERS.find(([stage]) => !isLeft(stage));
    return found === undefined ? {} : found[1](record, question);
}

/** Gives the cause of the longest wait. */
function explainWait(record: EndpointRecord, { clock, limits, coldEndpoints }: FilterComponents): FilterExplanation {
    const waits = [
        { filter: CandidateFilter.Refusing, waitMs: record.refusedUntilMs - clock.readMonotonicMs() },
        { filter: CandidateFilter.Limited, waitMs: limits.readWaitMs(record) },
        { filter: CandidateFilter.Cold, waitMs: coldEndpoints.readWaitMs(record) },
    ];
    const waitMs = Math.max(...waits.map(wait => wait.waitMs));
    const filter = waits.find(wait => wait.waitMs === waitMs)?.filter;
    // JSON has no infinite numbers. Without a time it isn't known when this node may send there.
    return Number.isFinite(waitMs) ? { filter, waitMs: Math.max(0, waitMs) } : { filter };
}
