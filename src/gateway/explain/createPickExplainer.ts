/**
 * @module Explains what the picker that forwards requests does with one, in each failure domain that it may go to.
 */
import { type ChoiceRule, explainChoice, type ExplainedEndpoint } from "../../decisions/gateway/explainChoice";
import { explainUsability } from "../endpoints/createEndpointDirectory";
import type { EndpointRecord } from "../endpoints/endpointRecord";
import {
    createCandidatePicker,
    type NoCandidate,
    type PickStage,
    type PickState,
    type PickTrace,
} from "../forwarding/createCandidatePicker";
import type { DomainOutcome, SpilloverControl } from "../forwarding/createSpillover";
import type { GatewayComponents } from "../gatewayComponents";

/** What the picker does if the request goes to one failure domain. */
export interface PickOutcome extends DomainOutcome {
    /** The endpoints that each step leaves. */
    readonly stages: ReadonlyMap<PickStage, ReadonlySet<EndpointRecord>>;
    readonly rule: ChoiceRule;
    /** The candidates with their chances, by id. */
    readonly endpoints: ReadonlyMap<string, ExplainedEndpoint>;
    /** Present if no endpoint takes the request. */
    readonly noCandidate: NoCandidate | undefined;
}

/** Gives an outcome for each failure domain that the request may go to; at least one. */
export type PickExplainer = (state: PickState) => readonly PickOutcome[];

const UNDECIDED: DomainOutcome = { domain: undefined, chance: 1, records: [] };

/**
 * Creates the explainer. The picker gets components that only read, and a stand-in for randomness, so that it changes
 * nothing.
 *
 * @param components - The components of the gateway
 * @param spillover - That of the forwarder
 * @returns The explainer
 * @example
 * explainPick(state).map(({ domain, chance }) => ({ domain, chance }));
 */
export function createPickExplainer(
    components: GatewayComponents,
    spillover: Pick<SpilloverControl, "explainDomains">,
): PickExplainer {
    const { directory, limits, coldEndpoints, speeds } = components;
    const listUsable = (service: string) =>
        directory.readAll(service).filter(record => explainUsability(record) === undefined);
    const readers: GatewayComponents = {
        ...components,
        directory: { ...directory, listUsable },
        limits: { ...limits, computeWaitMs: limits.readWaitMs, recordDemand: () => undefined },
        coldEndpoints: { ...coldEndpoints, computeWaitMs: coldEndpoints.readWaitMs },
        random: { drawFraction: () => 0, drawInteger: low => low },
    };

    /** Runs the picker for one of the failure domains; `known` are those of the first run. */
    const runPicker = (state: PickState, index: number, known?: readonly DomainOutcome[]) => {
        let domains: readonly DomainOutcome[] = [];
        const stages = new Map<PickStage, ReadonlySet<EndpointRecord>>();
        let choice = explainChoice([], state.request, speeds.readSpeed(state.exchange.service));
        const trace: PickTrace = {
            recordStage: (stage, left) => void stages.set(stage, new Set(left)),
            recordViews: (views, speed) => {
                choice = explainChoice(views, state.request, speed);
            },
        };
        const picker = createCandidatePicker(readers, {
            filterDomains: (service, objectiveMs, takers) => {
                // Spillover may decide anew between two runs, and their chances would not fit together.
                domains =
                    known ?? spillover.explainDomains({ service, objectiveMs, takers, usable: listUsable(service) });
                return domains[index]?.records ?? [];
            },
        });
        const picked = picker.pickCandidate(state, trace);
        const outcome: PickOutcome = {
            ...(domains[index] ?? UNDECIDED),
            stages,
            rule: choice.rule,
            endpoints: new Map(choice.endpoints.map(endpoint => [endpoint.view.id, endpoint])),
            noCandidate: "waitMs" in picked ? picked : undefined,
        };
        return { domains, outcome };
    };
    return state => {
        const first = runPicker(state, 0);
        const others = first.domains.slice(1).map((_domain, at) => runPicker(state, at + 1, first.domains));
        return [first, ...others].map(({ outcome }) => outcome);
    };
}
