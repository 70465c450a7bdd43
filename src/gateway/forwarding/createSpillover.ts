/**
 * @module Applies the decision which share of a service's requests goes to other failure domains.
 */
import { estimateFirstPartMs } from "../../decisions/gateway/chooseEndpoint";
import { USUAL_PACE } from "../../decisions/gateway/endpointPace";
import {
    decideSpillover,
    type DomainLoad,
    NO_SPILLOVER,
    type Spillover,
} from "../../decisions/gateway/decideSpillover";
import type { EndpointDirectory } from "../endpoints/createEndpointDirectory";
import { buildEndpointView, type EndpointRecord } from "../endpoints/endpointRecord";
import type { GatewayComponents } from "../gatewayComponents";
import { FailureOwner } from "../process/createFailureReporter";
import type { FleetNews } from "../news/createFleetNews";
import type { GatewayMetrics } from "../process/createGatewayMetrics";

/** Time between two decisions for a service. */
const DECISION_PERIOD_MS = 100;
/** Share of the nodes whose reports must be in the sums: what the others do is missing from the load of endpoints. */
const REACHABLE_SHARE_MIN = 0.9;
const NO_PROMPT = { promptTokens: 0, promptParts: [] };

/** How far an endpoint is from this node. */
enum Distance {
    SameDomain = "same_domain",
    SameRegion = "same_region",
    OtherRegion = "other_region",
}

/**
 * Share of failed attempts from which an endpoint gets no requests while sound ones take them in any failure domain: that
 * of two failures in a row, since a single one says little.
 */
const FAILING_SHARE = 0.25;

/** What the spillover needs of the gateway. */
export interface SpilloverOptions extends Pick<
    GatewayComponents,
    "settings" | "clock" | "random" | "log" | "speeds" | "reportFailure"
> {
    readonly directory: Pick<EndpointDirectory, "listUsable">;
    readonly news: Pick<FleetNews, "isInTouch" | "readLoad" | "readUsage">;
    readonly metrics: Pick<GatewayMetrics, "countAttemptDistance" | "setSpilloverShare">;
}

/** Distributes requests over failure domains. */
export interface SpilloverControl {
    /**
     * Filters the endpoints of the failure domain that one request goes to. All are given if the settings
     * don't switch it on, the endpoints of the service report no pace, or if neither that failure domain nor the own one has an endpoint that takes the request.
     * Endpoints that have failed lately count only if no others take it. An error gives all: it must not cost the request.
     */
    filterDomains(service: string, objectiveMs: number, takers: readonly EndpointRecord[]): readonly EndpointRecord[];
    /**
     * Lists what `filterDomains` may give, with the chance of each; draws, logs and records nothing. `usable` are the
     * endpoints of the service that may get requests.
     */
    explainDomains(options: DomainQuestion): readonly DomainOutcome[];
    /** Counts an attempt by the distance of its endpoint. */
    recordAttempt(record: EndpointRecord): void;
}

/** A request whose failure domain is asked for. */
export interface DomainQuestion {
    readonly service: string;
    readonly objectiveMs: number;
    readonly takers: readonly EndpointRecord[];
    readonly usable: readonly EndpointRecord[];
}

/** A failure domain that a request may go to. */
export interface DomainOutcome {
    /** `undefined` if the failure domain isn't decided before the endpoint. */
    readonly domain: string | undefined;
    /** Probability from 0 to 1. */
    readonly chance: number;
    readonly records: readonly EndpointRecord[];
}

interface ServiceState {
    readonly spillover: Spillover;
    /** The strictest objective of the requests so far. */
    readonly objectiveMs: number;
}

/** What a new decision was based on. */
interface DecisionGround {
    readonly own: DomainLoad | undefined;
    readonly isFresh: boolean;
}

/**
 * Creates the control, without spillover at first.
 *
 * @param options - The components of the gateway that it needs
 * @returns The control
 * @example
 * spillover.filterDomains("assistant", route.objectiveMs, reachable);
 */
export function createSpillover(options: SpilloverOptions): SpilloverControl {
    const { settings, clock, random, log, speeds, directory, news, metrics } = options;
    const states = new Map<string, ServiceState>();

    const findDistance = (domain: string): Distance => {
        if (domain === settings.failureDomain) {
            return Distance.SameDomain;
        }
        const isSameRegion = settings.regions[domain] === settings.regions[settings.failureDomain];
        return isSameRegion ? Distance.SameRegion : Distance.OtherRegion;
    };
    const listLoads = (service: string, usable: readonly EndpointRecord[], nowMs: number): readonly DomainLoad[] => {
        const speed = speeds.readSpeed(service);
        const domains = sumByDomain(usable, nowMs);
        const far = [...domains].filter(([domain]) => findDistance(domain) === Distance.OtherRegion);
        const near = [...domains].filter(([domain]) => findDistance(domain) !== Distance.OtherRegion);
        // Views have the endpoints of the own region one by one; of the others only what all nodes do for the service.
        const nearInFlight = near.reduce((sum, [, { inFlight }]) => sum + inFlight, 0);
        const farInFlight = Math.max(0, news.readLoad(service).inFlight - nearInFlight);
        const farSlots = far.reduce((sum, [, { slots }]) => sum + slots, 0);
        return [...domains].map(([domain, sums]) => {
            const distance = findDistance(domain);
            const inFlight =
                distance === Distance.OtherRegion
                    ? Math.max(sums.inFlight, (farInFlight * sums.slots) / Math.max(1, farSlots))
                    : sums.inFlight;
            const view = {
                roundTripMs: sums.roundTripMs,
                slots: sums.slots,
                occupancy: inFlight,
                pendingTokens: sums.pendingTokens / sums.endpoints,
                cachedTokens: 0,
                pace: sums.pace / sums.endpoints,
            };
            return {
                domain,
                isSameRegion: distance === Distance.SameRegion,
                slots: sums.slots,
                inFlight,
                expectedMs: estimateFirstPartMs(view, NO_PROMPT, speed) + sums.biasMs / sums.endpoints,
            };
        });
    };
    /** Decides the state at the next request, and on what ground if that is a new decision; keeps nothing. */
    const decideState = (
        service: string,
        routeObjectiveMs: number,
        readUsable: () => readonly EndpointRecord[],
    ): { readonly state: ServiceState; readonly ground?: DecisionGround } => {
        const nowMs = clock.readMonotonicMs();
        const state = states.get(service) ?? { spillover: NO_SPILLOVER, objectiveMs: routeObjectiveMs };
        const objectiveMs = Math.min(state.objectiveMs, routeObjectiveMs);
        if (states.has(service) && nowMs - state.spillover.atMs < DECISION_PERIOD_MS) {
            return { state: { ...state, objectiveMs } };
        }
        const loads = listLoads(service, readUsable(), nowMs);
        const own = loads.find(({ domain }) => domain === settings.failureDomain);
        const { nodes, reachable } = news.readUsage();
        const isFresh = news.isInTouch() && reachable >= nodes * REACHABLE_SHARE_MIN;
        const others = loads.filter(load => load !== own);
        const spillover =
            own === undefined
                ? { ...NO_SPILLOVER, atMs: nowMs }
                : decideSpillover(state.spillover, { nowMs, isFresh, objectiveMs, own, others });
        return { state: { spillover, objectiveMs }, ground: { own, isFresh } };
    };
    const updateState = (service: string, routeObjectiveMs: number): Spillover => {
        const wasOn = (states.get(service)?.spillover.share ?? 0) > 0;
        const decision = decideState(service, routeObjectiveMs, () => directory.listUsable(service));
        const { spillover, objectiveMs } = decision.state;
        states.set(service, decision.state);
        if (decision.ground === undefined) {
            return spillover;
        }
        const { own, isFresh } = decision.ground;
        if (wasOn !== spillover.share > 0) {
            log.info(wasOn ? "spillover ends" : "spillover begins", {
                service,
                expectedMs: Math.round(own?.expectedMs ?? 0),
                objectiveMs,
                inFlight: Math.round(own?.inFlight ?? 0),
                slots: own?.slots ?? 0,
                isFresh,
            });
        }
        metrics.setSpilloverShare(service, spillover.share);
        return spillover;
    };
    const drawDomain = ({ shares }: Spillover): string => {
        let left = random.drawFraction();
        for (const [domain, share] of shares) {
            left -= share;
            if (left < 0) {
                return domain;
            }
        }
        return settings.failureDomain;
    };
    const filterDomain = (drawn: string, takers: readonly EndpointRecord[]) => {
        const nowMs = clock.readMonotonicMs();
        const sound = takers.filter(record => buildEndpointView(record, [], nowMs).failureRate < FAILING_SHARE);
        const usable = sound.length > 0 ? sound : takers;
        const listIn = (domain: string) => usable.filter(({ endpoint }) => endpoint.failureDomain === domain);
        return [listIn(drawn), listIn(settings.failureDomain)].find(list => list.length > 0) ?? usable;
    };
    const isOn = (takers: readonly EndpointRecord[]): boolean =>
        settings.hasSpillover === true && takers.some(({ pace }) => pace !== undefined);
    return {
        filterDomains: (service, objectiveMs, takers) => {
            if (!isOn(takers)) {
                return takers;
            }
            try {
                return filterDomain(drawDomain(updateState(service, objectiveMs)), takers);
            } catch (error) {
                options.reportFailure(FailureOwner.Request, error, { service });
                return takers;
            }
        },
        explainDomains: ({ service, objectiveMs, takers, usable }) => {
            if (!isOn(takers)) {
                return [{ domain: undefined, chance: 1, records: takers }];
            }
            const { shares } = decideState(service, objectiveMs, () => usable).state.spillover;
            const own = 1 - [...shares.values()].reduce((sum, share) => sum + share, 0);
            return [[settings.failureDomain, own] as const, ...shares]
                .filter(([, chance]) => chance > 0)
                .map(([domain, chance]) => ({ domain, chance, records: filterDomain(domain, takers) }));
        },
        recordAttempt: ({ endpoint }) =>
            metrics.countAttemptDistance(endpoint.service, findDistance(endpoint.failureDomain)),
    };
}

function sumByDomain(records: readonly EndpointRecord[], nowMs: number) {
    const domains = new Map<string, ReturnType<typeof sumRecord>>();
    for (const record of records) {
        const sums = sumRecord(domains.get(record.endpoint.failureDomain), record, nowMs);
        domains.set(record.endpoint.failureDomain, sums);
    }
    return domains;
}

const EMPTY = { endpoints: 0, slots: 0, inFlight: 0, pendingTokens: 0, biasMs: 0, pace: 0 };

function sumRecord(before: typeof EMPTY | undefined, record: EndpointRecord, nowMs: number) {
    const view = buildEndpointView(record, [], nowMs);
    const sums = before ?? EMPTY;
    return {
        endpoints: sums.endpoints + 1,
        slots: sums.slots + view.slots,
        inFlight: sums.inFlight + view.occupancy,
        pendingTokens: sums.pendingTokens + view.pendingTokens,
        biasMs: sums.biasMs + view.biasMs,
        pace: sums.pace + (view.pace ?? USUAL_PACE),
        roundTripMs: view.roundTripMs,
    };
}
