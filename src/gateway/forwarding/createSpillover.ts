/**
 * @module Applies the decision which share of a service's requests goes to other failure domains.
 */
import { computeDomainShares } from "../../decisions/gateway/computeDomainShares";
import { estimateFirstPartMs } from "../../decisions/gateway/chooseEndpoint";
import { USUAL_PACE } from "../../decisions/gateway/endpointPace";
import {
    decideSpillover,
    type DomainLoad,
    NO_SPILLOVER,
    type Spillover,
} from "../../decisions/gateway/decideSpillover";
import { filterPlaceable } from "../../decisions/gateway/filterPlaceable";
import { createRecentObjectives, type RecentObjectives } from "../../decisions/gateway/createRecentObjectives";
import type { ColdEndpoints } from "../endpoints/createColdEndpoints";
import type { EndpointDirectory } from "../endpoints/createEndpointDirectory";
import type { EndpointLimits } from "../endpoints/createEndpointLimits";
import type { Evacuations } from "../endpoints/createEvacuations";
import type { Rollouts } from "../rollouts/rollouts";
import { buildEndpointView, estimateInFlight, type EndpointRecord, readFailureRate } from "../endpoints/endpointRecord";
import type { GatewayComponents } from "../gatewayComponents";
import { FailureOwner } from "../process/createFailureReporter";
import type { FleetNews } from "../news/createFleetNews";
import type { GatewayMetrics } from "../process/createGatewayMetrics";

/** Time between two decisions for a service. */
const DECISION_PERIOD_MS = 100;
/** Share of the nodes whose reports must be in the sums: what the others do is missing from the load of endpoints. */
const REACHABLE_SHARE_MIN = 0.9;
/** Averaged shares from which spillover counts as begun, and below which as ended. */
const SHARE_ON = 0.02;
const SHARE_OFF = 0.005;
const SHARE_AVERAGING_MS = 1_000;
/** Most requests per slot that are looked for when an expected time is converted, and the number of halvings. */
const INVERSE_SLOTS_MAX = 64;
const INVERSE_STEPS = 14;
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
    readonly evacuations: Pick<Evacuations, "readDomains">;
    readonly limits: Pick<EndpointLimits, "isLimited">;
    readonly rollouts: Pick<Rollouts, "isServing">;
    readonly coldEndpoints: Pick<ColdEndpoints, "isCold">;
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
    spillover: Spillover;
    readonly objectives: RecentObjectives;
    /** Requests since the last decision, and those of them that left. */
    sent: number;
    left: number;
    /** Share of the requests that leave, averaged over about a second. */
    share: number;
    isOn: boolean;
}

function createServiceState(): ServiceState {
    return {
        spillover: NO_SPILLOVER,
        objectives: createRecentObjectives(),
        sent: 0,
        left: 0,
        share: 0,
        isOn: false,
    };
}

/** Updates the averaged share by the requests since the last decision. */
function recordShare(state: ServiceState, stepMs: number): void {
    const newest = state.left / Math.max(1, state.sent);
    state.share = newest + (state.share - newest) * Math.exp(-stepMs / SHARE_AVERAGING_MS);
    state.sent = 0;
    state.left = 0;
}

function buildEmptyLoad(domain: string): DomainLoad {
    return {
        domain,
        isSameRegion: true,
        slots: 0,
        inFlight: 0,
        ownInFlight: 0,
        expectedMs: Number.POSITIVE_INFINITY,
        estimateInFlight: () => 0,
    };
}

/** Finds the input with which an increasing function gives a value, by halving; the least one gives at least the value. */
function findInput(compute: (input: number) => number, value: number, most: number): number {
    let [low, high] = [0, most];
    for (let step = 0; step < INVERSE_STEPS; step++) {
        const middle = (low + high) / 2;
        if (compute(middle) < value) {
            low = middle;
        } else {
            high = middle;
        }
    }
    return high;
}

/** What a new decision was based on. */
interface DecisionGround {
    readonly own: DomainLoad;
    readonly objectiveMs: number;
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
    /** Filters the endpoints whose slots count: an endpoint that takes no or few requests has none for the surplus. */
    const filterOpen = (usable: readonly EndpointRecord[], nowMs: number): readonly EndpointRecord[] => {
        const evacuated = options.evacuations.readDomains();
        return filterPlaceable(usable, { homeRegions: undefined, evacuated, regions: settings.regions }).filter(
            record =>
                Math.max(record.refusedUntilMs, record.suspectUntilMs) <= nowMs &&
                options.rollouts.isServing(record.endpoint) &&
                !options.limits.isLimited(record) &&
                !options.coldEndpoints.isCold(record) &&
                readFailureRate(record, nowMs) < FAILING_SHARE,
        );
    };
    const listLoads = (service: string, usable: readonly EndpointRecord[], nowMs: number): readonly DomainLoad[] => {
        const speed = speeds.readSpeed(service);
        const domains = sumByDomain(filterOpen(usable, nowMs), nowMs);
        const far = [...domains].filter(([domain]) => findDistance(domain) === Distance.OtherRegion);
        const near = [...domains].filter(([domain]) => findDistance(domain) !== Distance.OtherRegion);
        // Views have the endpoints of the own region one by one; of the others only what all nodes do for the service.
        const nearInFlight = near.reduce((sum, [, { inFlight }]) => sum + inFlight, 0);
        const farInFlight = Math.max(0, news.readLoad(service).inFlight - nearInFlight);
        const farSlots = far.reduce((sum, [, { slots }]) => sum + slots, 0);
        return [...domains].map(([domain, sums]): DomainLoad => {
            const distance = findDistance(domain);
            const inFlight =
                distance === Distance.OtherRegion
                    ? Math.max(sums.inFlight, (farInFlight * sums.slots) / Math.max(1, farSlots))
                    : sums.inFlight;
            const estimateMs = (occupancy: number) => {
                const view = {
                    roundTripMs: sums.roundTripMs,
                    slots: sums.slots,
                    occupancy,
                    pendingTokens: sums.pendingTokens / sums.endpoints,
                    cachedTokens: 0,
                    pace: sums.pace / sums.endpoints,
                };
                return estimateFirstPartMs(view, NO_PROMPT, speed) + sums.biasMs / sums.endpoints;
            };
            return {
                domain,
                isSameRegion: distance === Distance.SameRegion,
                slots: sums.slots,
                inFlight,
                ownInFlight: sums.ownInFlight,
                expectedMs: estimateMs(inFlight),
                estimateInFlight: expectedMs => findInput(estimateMs, expectedMs, sums.slots * INVERSE_SLOTS_MAX),
            };
        });
    };
    /** Decides on the windows for the next request, and on what ground if they are new ones; changes nothing. */
    const decideWindows = (
        state: ServiceState,
        { service, objectiveMs }: Pick<DomainQuestion, "service" | "objectiveMs">,
        readUsable: () => readonly EndpointRecord[],
    ): { readonly spillover: Spillover; readonly ground?: DecisionGround } => {
        const nowMs = clock.readMonotonicMs();
        if (nowMs - state.spillover.atMs < DECISION_PERIOD_MS) {
            return { spillover: state.spillover };
        }
        const strictestMs = Math.min(objectiveMs, state.objectives.readStrictest(nowMs));
        const loads = listLoads(service, readUsable(), nowMs);
        const own = loads.find(({ domain }) => domain === settings.failureDomain);
        const { nodes, reachable } = news.readUsage();
        const ground = {
            own: own ?? buildEmptyLoad(settings.failureDomain),
            objectiveMs: strictestMs,
            isFresh: news.isInTouch() && reachable >= nodes * REACHABLE_SHARE_MIN,
        };
        const spillover = decideSpillover(state.spillover, {
            ...ground,
            nowMs,
            nodesPerDomain: Math.max(1, nodes / Math.max(1, Object.keys(settings.regions).length)),
            others: loads.filter(load => load !== own),
        });
        return { spillover, ground };
    };
    const updateState = (service: string, objectiveMs: number): ServiceState => {
        const state = states.get(service) ?? createServiceState();
        states.set(service, state);
        state.objectives.recordRequest(objectiveMs, clock.readMonotonicMs());
        const { spillover, ground } = decideWindows(state, { service, objectiveMs }, () =>
            directory.listUsable(service),
        );
        if (ground === undefined) {
            return state;
        }
        recordShare(state, spillover.atMs - state.spillover.atMs);
        state.spillover = spillover;
        metrics.setSpilloverShare(service, state.share);
        if (state.share > (state.isOn ? SHARE_OFF : SHARE_ON) !== state.isOn) {
            const { own, isFresh } = ground;
            log.info(state.isOn ? "spillover ends" : "spillover begins", {
                service,
                expectedMs: Math.round(own.expectedMs),
                objectiveMs: ground.objectiveMs,
                inFlight: Math.round(own.inFlight),
                slots: own.slots,
                isFresh,
            });
            state.isOn = !state.isOn;
        }
        return state;
    };
    /** Lists the chance of each failure domain; the own one comes last, with what the others leave. */
    const listChances = (spillover: Spillover, takers: readonly EndpointRecord[]) => {
        const inFlight = new Map<string, number>();
        for (const { endpoint, ownInFlight } of takers) {
            inFlight.set(endpoint.failureDomain, (inFlight.get(endpoint.failureDomain) ?? 0) + ownInFlight);
        }
        const shares = [...computeDomainShares(spillover, settings.failureDomain, inFlight)];
        const left = shares.reduce((sum, [, share]) => sum + share, 0);
        return [...shares, [settings.failureDomain, Math.max(0, 1 - left)] as const];
    };
    const drawDomain = (spillover: Spillover, takers: readonly EndpointRecord[]): string => {
        let left = random.drawFraction();
        const drawn = listChances(spillover, takers).find(([, chance]) => (left -= chance) < 0);
        return drawn?.[0] ?? settings.failureDomain;
    };
    const filterSound = (takers: readonly EndpointRecord[]): readonly EndpointRecord[] => {
        const nowMs = clock.readMonotonicMs();
        const sound = takers.filter(record => readFailureRate(record, nowMs) < FAILING_SHARE);
        return sound.length > 0 ? sound : takers;
    };
    /** Filters the endpoints of a failure domain; without any there, those of the own one, else all. */
    const filterDomain = (domain: string, takers: readonly EndpointRecord[]): readonly EndpointRecord[] =>
        [domain, settings.failureDomain]
            .map(listed => takers.filter(({ endpoint }) => endpoint.failureDomain === listed))
            .find(list => list.length > 0) ?? takers;
    const filterDrawnDomain = (service: string, objectiveMs: number, takers: readonly EndpointRecord[]) => {
        const sound = filterSound(takers);
        const state = updateState(service, objectiveMs);
        const drawn = drawDomain(state.spillover, sound);
        state.sent++;
        state.left += drawn === settings.failureDomain ? 0 : 1;
        return filterDomain(drawn, sound);
    };
    const isOn = (takers: readonly EndpointRecord[]): boolean =>
        settings.hasSpillover === true && takers.some(({ pace }) => pace !== undefined);
    return {
        filterDomains: (service, objectiveMs, takers) => {
            if (!isOn(takers)) {
                return takers;
            }
            try {
                return filterDrawnDomain(service, objectiveMs, takers);
            } catch (error) {
                options.reportFailure(FailureOwner.Request, error, { service });
                return takers;
            }
        },
        explainDomains: ({ service, objectiveMs, takers, usable }) => {
            if (!isOn(takers)) {
                return [{ domain: undefined, chance: 1, records: takers }];
            }
            const state = states.get(service) ?? createServiceState();
            const { spillover } = decideWindows(state, { service, objectiveMs }, () => usable);
            const sound = filterSound(takers);
            return listChances(spillover, sound)
                .filter(([, chance]) => chance > 0)
                .map(([drawn, chance]) => {
                    const records = filterDomain(drawn, sound);
                    const isThere = records.every(({ endpoint }) => endpoint.failureDomain === drawn);
                    return { domain: isThere ? drawn : undefined, chance, records };
                });
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

const EMPTY = { endpoints: 0, slots: 0, inFlight: 0, ownInFlight: 0, pendingTokens: 0, biasMs: 0, pace: 0 };

function sumRecord(before: typeof EMPTY | undefined, record: EndpointRecord, nowMs: number) {
    const view = buildEndpointView(record, [], nowMs);
    const sums = before ?? EMPTY;
    return {
        endpoints: sums.endpoints + 1,
        slots: sums.slots + view.slots,
        inFlight: sums.inFlight + estimateInFlight(record, nowMs),
        ownInFlight: sums.ownInFlight + record.ownInFlight,
        pendingTokens: sums.pendingTokens + view.pendingTokens,
        biasMs: sums.biasMs + view.biasMs,
        pace: sums.pace + (view.pace ?? USUAL_PACE),
        roundTripMs: view.roundTripMs,
    };
}
