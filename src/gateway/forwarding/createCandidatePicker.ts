/**
 * @module Picks the endpoint of an attempt among those that may get it.
 */
import {
    chooseEndpoint,
    type EndpointView,
    estimateResponseMs,
    type ServiceSpeed,
} from "../../decisions/gateway/chooseEndpoint";
import { explainPlacement, filterPlaceable, type PlacementBar } from "../../decisions/gateway/filterPlaceable";
import { filterServable } from "../../decisions/gateway/filterServable";
import { buildEndpointView, type EndpointRecord } from "../endpoints/endpointRecord";
import type { GatewayComponents } from "../gatewayComponents";
import { computeTakeWaitMs } from "./computeTakeWaitMs";
import type { SpilloverControl } from "./createSpillover";
import type { GatewayExchange } from "../callers/exchange";
import type { ForwardingState } from "./forwardingState";
import type { StreamRelay } from "./createStreamRelay";

/** What of a request's state decides where its next attempt goes. */
export interface PickState extends Pick<ForwardingState, "request" | "triedEndpoints" | "sends" | "isCareful"> {
    readonly exchange: Pick<GatewayExchange, "service" | "head" | "homeRegions" | "route">;
    readonly relay: Pick<StreamRelay, "readLastEventId">;
}

/** The steps that leave endpoints out, in their order. */
export enum PickStage {
    /** Those that have loaded the model. */
    Model,
    /** Those in the home regions and outside of evacuated failure domains. */
    Placement,
    /** Those that no attempt was made at. */
    Tried,
    /** Those that don't refuse requests at the moment, have not reached a limit, and take requests though they are cold. */
    Wait,
    /** Those whose version may get the request. */
    Version,
    /** Those that can be reached, or all if none can. */
    Reachable,
    /** Those in the failure domain that the request goes to. */
    Domain,
    /** For the try of a suspected prompt part, those with the fewest requests; else all. */
    Occupancy,
}

/** Takes what a choice is made from. */
export interface PickTrace {
    /** Records the endpoints that a step leaves. */
    recordStage(stage: PickStage, left: readonly EndpointRecord[]): void;
    /** Records the speed by which the candidates are compared, and their views. */
    recordViews(views: readonly EndpointView[], speed: ServiceSpeed): void;
}

/** An endpoint that an attempt may be made at. */
export interface Candidate {
    readonly record: EndpointRecord;
    /** The endpoint as it was when it was chosen. */
    readonly view: EndpointView;
}

/** That no endpoint takes the request now. */
export interface NoCandidate {
    /** Time until one may, which may be infinite. */
    readonly waitMs: number;
    /** Why their place leaves all endpoints out; `undefined` if it doesn't. */
    readonly bar: PlacementBar | undefined;
}

/** Picks endpoints. */
export interface CandidatePicker {
    /** Picks an endpoint; if none takes the request now, gives the time until one may, which may be infinite. */
    pickCandidate(state: PickState, trace?: PickTrace): Candidate | NoCandidate;
    /** Estimates the least time to a response at the endpoints that were not tried; `undefined` if none takes it now. */
    estimateLeastMs(state: PickState): number | undefined;
}

/**
 * Creates the picker.
 *
 * @param components - The components of the gateway
 * @param spillover - Decides which failure domain an attempt goes to
 * @returns The picker
 * @example
 * const candidate = candidates.pickCandidate(state);
 */
export function createCandidatePicker(
    components: GatewayComponents,
    spillover: Pick<SpilloverControl, "filterDomains">,
): CandidatePicker {
    const { clock, directory, speeds, settings } = components;

    /** Lists the endpoints that take this request now, and gives the least time until one does. */
    const listOpen = (state: PickState, nowMs: number, trace?: PickTrace) => {
        const { exchange, triedEndpoints } = state;
        const { rollouts, limits } = components;
        const usable = filterServable(directory.listUsable(exchange.service), exchange.head.model);
        const evacuated = components.evacuations.readDomains();
        const rules = { homeRegions: exchange.homeRegions, evacuated, regions: settings.regions };
        const placeable = filterPlaceable(usable, rules);
        const untried = placeable.filter(record => !triedEndpoints.has(record.endpoint.id));
        trace?.recordStage(PickStage.Model, usable);
        trace?.recordStage(PickStage.Placement, placeable);
        trace?.recordStage(PickStage.Tried, untried);
        const waitsMs = new Map(untried.map(record => [record, computeTakeWaitMs(components, record, nowMs)]));
        const isFirst = state.sends === 0 && !state.isCareful && state.relay.readLastEventId() === undefined;
        const taking = untried.filter(record => waitsMs.get(record) === 0);
        const open = rollouts.filterEligible(exchange.service, taking, isFirst);
        trace?.recordStage(PickStage.Wait, taking);
        trace?.recordStage(PickStage.Version, open);
        const eligible = rollouts.filterEligible(exchange.service, untried, false);
        eligible.forEach(record => limits.recordDemand(record));
        return {
            open,
            reachable: open.filter(record => record.suspectUntilMs <= nowMs),
            /** Why no endpoint is left, if its place bars each of them. */
            bar: placeable.length === 0 && usable[0] ? explainPlacement(usable[0].endpoint, rules) : undefined,
            leastWaitMs: Math.min(...eligible.map(record => waitsMs.get(record) ?? 0)),
        };
    };

    return {
        pickCandidate: (state, trace) => {
            const { request, exchange } = state;
            const nowMs = clock.readMonotonicMs();
            const { open, reachable, leastWaitMs, bar } = listOpen(state, nowMs, trace);
            const speed = speeds.readSpeed(exchange.service);
            const takers = reachable.length > 0 ? reachable : open;
            const inDomain = spillover.filterDomains(exchange.service, exchange.route.objectiveMs, takers);
            const all = inDomain.map(record => ({
                record,
                view: buildEndpointView(record, request.promptParts, nowMs),
            }));
            const leastOccupancy = Math.min(...all.map(({ view }) => view.occupancy));
            const candidates = state.isCareful ? all.filter(({ view }) => view.occupancy <= leastOccupancy) : all;
            const views = candidates.map(candidate => candidate.view);
            trace?.recordStage(PickStage.Reachable, takers);
            trace?.recordStage(PickStage.Domain, inDomain);
            trace?.recordStage(
                PickStage.Occupancy,
                candidates.map(({ record }) => record),
            );
            trace?.recordViews(views, speed);
            const id = chooseEndpoint(views, request, speed, components.random);
            return candidates.find(candidate => candidate.view.id === id) ?? { waitMs: leastWaitMs, bar };
        },
        estimateLeastMs: state => {
            const { request, exchange } = state;
            const nowMs = clock.readMonotonicMs();
            const speed = speeds.readSpeed(exchange.service);
            const estimatesMs = listOpen(state, nowMs).reachable.map(record =>
                estimateResponseMs(buildEndpointView(record, request.promptParts, nowMs), request, speed, false),
            );
            return estimatesMs.length === 0 ? undefined : Math.min(...estimatesMs);
        },
    };
}
