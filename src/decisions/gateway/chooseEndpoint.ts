/**
 * @module Chooses the endpoint of an attempt by the estimated time until its response begins.
 */
import { hashText } from "../../base/hashText";
import type { Random } from "../../base/random";
import type { PromptPart } from "../../ports/forwardingCodec";
import { drawPacedEndpoint, type PacedCandidate } from "./drawPacedEndpoint";
import { USUAL_PACE } from "./endpointPace";

/** The state of an endpoint, as far as this node knows it. */
export interface EndpointView {
    readonly id: string;
    /** Network round-trip time, in milliseconds. */
    readonly roundTripMs: number;
    /** Cost of leaving the failure domain or region, in milliseconds added to the estimate. */
    readonly distancePenaltyMs: number;
    /** Requests that it processes at once. */
    readonly slots: number;
    /** Requests in progress: its last load report, corrected by what this node has sent and seen end since. */
    readonly occupancy: number;
    /** Uncached prompt tokens sent to it by any node that it has presumably not prefilled yet. */
    readonly pendingTokens: number;
    /** By how much its recent responses took longer than estimated, in milliseconds. */
    readonly biasMs: number;
    /** Time for which it is still slow after its start, in milliseconds. */
    readonly coldMs: number;
    /** Share of its recent attempts that failed. */
    readonly failureRate: number;
    /** Leading tokens of the prompt that are expected to be in its prefix cache. */
    readonly cachedTokens: number;
    /** How long work takes there, 100 as usual and 200 twice as long; absent if the endpoint reports no pace. */
    readonly pace?: number;
    /** Requests in progress there that other nodes have sent, by their last reports; absent without a pace. */
    readonly othersInFlight?: number;
}

/** The request for which an endpoint is chosen. */
export interface PlacementRequest {
    /** Tokens of the prompt; 0 for a request without a prompt. */
    readonly promptTokens: number;
    readonly promptParts: readonly PromptPart[];
}

/** Measured speed of a service's endpoints. */
export interface ServiceSpeed {
    /** Uncached prompt tokens that one endpoint prefills per millisecond. */
    readonly tokensPerMs: number;
    /** Time until an idle endpoint begins its response, without prefill, in milliseconds. */
    readonly serviceMs: number;
}

/** Most that a cold endpoint is estimated to delay a response. */
const COLD_DELAY_MAX_MS = 400;
/** Approximate delay that a failed attempt causes its caller. */
const FAILURE_COST_MS = 2_500;
/** Share of occupied slots above which an endpoint is estimated to become slower. */
const SLOWDOWN_THRESHOLD = 0.7;
/** Share of the shared tokens that is assumed to be cached at the preferred endpoint. */
const PREFERRED_CACHED_SHARE = 0.8;
/** Weight of the extra cost of prefilling shared tokens again, which delays other requests at the endpoint. */
const REPEATED_PREFILL_WEIGHT = 3;
/**
 * Estimates within this range count as equal, so that nodes with the same load reports don't all choose one endpoint.
 */
export const TIE_RANGE_MS = 4;

const IDLE = { occupancy: 0, pendingTokens: 0, biasMs: 0, pace: USUAL_PACE };

/**
 * Chooses the endpoint with the lowest estimate, at random among those within a few milliseconds of it; where endpoints
 * report their pace, by `drawPacedEndpoint`.
 *
 * @param views - The candidates
 * @param request - The request
 * @param speed - The measured speed of the service
 * @param random - Source of randomness for breaking ties
 * @returns The endpoint's id; `undefined` without candidates
 * @example
 * chooseEndpoint(views, { promptTokens: 1_200, promptParts }, speed, random);
 */
export function chooseEndpoint(
    views: readonly EndpointView[],
    request: PlacementRequest,
    speed: ServiceSpeed,
    random: Random,
): string | undefined {
    const scored = estimateEndpoints(views, request, speed);
    if (isPaced(scored)) {
        return drawPacedEndpoint(scored, TIE_RANGE_MS, random);
    }
    const tied = listTied(scored);
    return tied[random.drawInteger(0, Math.max(0, tied.length - 1))]?.view.id;
}

/** An endpoint with its estimates for one request. */
export interface ScoredEndpoint extends PacedCandidate {
    /** True if all nodes prefer the endpoint for the request's shared parts. */
    readonly isPreferred: boolean;
}

/**
 * Estimates the time to a response at each candidate.
 *
 * @param views - The candidates
 * @param request - The request
 * @param speed - The measured speed of the service
 * @returns The candidates with their estimates, in the same order
 * @example
 * estimateEndpoints(views, request, speed)[0]?.estimateMs;
 */
export function estimateEndpoints(
    views: readonly EndpointView[],
    request: PlacementRequest,
    speed: ServiceSpeed,
): readonly ScoredEndpoint[] {
    const preferred = findPreferred(views, request.promptParts);
    const hasPace = views.some(({ pace }) => pace !== undefined);
    return views.map(view => {
        const isPreferred = view.id === preferred;
        const estimateMs = estimateResponseMs(view, request, speed, isPreferred);
        // Only the draw by pace uses the estimate of the idle endpoint.
        const idleMs = hasPace ? estimateResponseMs({ ...view, ...IDLE }, request, speed, isPreferred) : estimateMs;
        return { view, isPreferred, estimateMs, idleMs };
    });
}

/** Tells whether the endpoints report their pace, so that one is drawn by weight. */
export function isPaced(scored: readonly ScoredEndpoint[]): boolean {
    return scored.some(({ view }) => view.pace !== undefined);
}

/** Lists the endpoints whose estimates count as equal to the lowest one; each of them has the same chance. */
export function listTied(scored: readonly ScoredEndpoint[]): readonly ScoredEndpoint[] {
    const bestMs = Math.min(...scored.map(({ estimateMs }) => estimateMs));
    return scored.filter(({ estimateMs }) => estimateMs <= bestMs + TIE_RANGE_MS);
}

/**
 * Estimates the time until an endpoint's response begins.
 *
 * @param view - The endpoint
 * @param request - The request
 * @param speed - The measured speed of the service
 * @param isPreferred - True if this is the endpoint that all nodes prefer for the request's shared parts
 * @returns Milliseconds, including the penalties for distance and failures
 * @example
 * estimateResponseMs(view, request, speed, false);
 */
export function estimateResponseMs(
    view: EndpointView,
    request: PlacementRequest,
    speed: ServiceSpeed,
    isPreferred: boolean,
): number {
    const shared = sumSharedTokens(request.promptParts);
    const cached = Math.max(view.cachedTokens, isPreferred ? PREFERRED_CACHED_SHARE * shared : 0);
    const repeatedPrefillMs = (REPEATED_PREFILL_WEIGHT * Math.max(0, shared - cached)) / speed.tokensPerMs;
    return (
        estimateFirstPartMs({ ...view, cachedTokens: cached }, request, speed) +
        view.distancePenaltyMs +
        repeatedPrefillMs +
        view.biasMs +
        Math.min(COLD_DELAY_MAX_MS, view.coldMs) +
        view.failureRate * FAILURE_COST_MS
    );
}

/**
 * Estimates the time until an endpoint's response begins if it works as usual, without any penalty.
 *
 * @param view - The endpoint
 * @param request - The request
 * @param speed - The measured speed of the service
 * @returns Milliseconds
 * @example
 * estimateFirstPartMs(view, request, speed);
 */
export function estimateFirstPartMs(
    view: Pick<EndpointView, "roundTripMs" | "slots" | "occupancy" | "pendingTokens" | "cachedTokens" | "pace">,
    request: PlacementRequest,
    speed: ServiceSpeed,
): number {
    const uncached = Math.max(0, request.promptTokens - view.cachedTokens);
    const prefillMs = (uncached + view.pendingTokens) / speed.tokensPerMs;
    const utilization = (view.occupancy + 1) / Math.max(1, view.slots);
    const slowdownMs = speed.serviceMs * Math.max(0, utilization - SLOWDOWN_THRESHOLD);
    const queueMs = speed.serviceMs * 2 * Math.max(0, utilization - 1);
    const stretch = (view.pace ?? USUAL_PACE) / USUAL_PACE;
    return (
        view.roundTripMs + stretch * speed.serviceMs + stretch * prefillMs + stretch * slowdownMs + stretch * queueMs
    );
}

/**
 * Finds the endpoint that every node prefers for prompts with the same shared parts, by rendezvous hashing over the
 * last shared part.
 */
function findPreferred(views: readonly EndpointView[], parts: readonly PromptPart[]): string | undefined {
    const lastShared = parts.at(-2);
    if (lastShared === undefined) {
        return undefined;
    }
    let best: string | undefined;
    let bestHash = -1;
    for (const { id } of views) {
        const hash = hashText(`${lastShared.id}|${id}`);
        if (hash > bestHash) {
            bestHash = hash;
            best = id;
        }
    }
    return best;
}

/** Sums the tokens of all parts but the last, which belongs to the request or its session only. */
function sumSharedTokens(parts: readonly PromptPart[]): number {
    return parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}
