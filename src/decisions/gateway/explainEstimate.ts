/**
 * @module Explains the estimate of an endpoint by its parts.
 */
import { type EndpointView, estimateResponseMs, type PlacementRequest, type ServiceSpeed } from "./chooseEndpoint";
import { USUAL_PACE } from "./endpointPace";

/** The parts of an estimate, in milliseconds; their sum is the estimate. */
export interface EstimateParts {
    /** An idle endpoint at its usual pace in this failure domain that has nothing of the prompt in its cache. */
    readonly baseMs: number;
    /** By how much its pace lengthens or shortens that. */
    readonly paceMs: number;
    /** What is saved since parts of the prompt are, or are soon to be, in its cache; 0 or negative. */
    readonly prefixMs: number;
    /** What the requests and prompts in progress there add. */
    readonly loadMs: number;
    /** Round trip, and the cost of leaving the failure domain or region. */
    readonly distanceMs: number;
    /** By how much its recent answers took longer than estimated. */
    readonly biasMs: number;
    readonly coldMs: number;
    readonly failuresMs: number;
}

/**
 * Explains an estimate: each part is by how much `estimateResponseMs` grows when the endpoint's state is added to that
 * of an ideal one, in the order of the parts.
 *
 * @param view - The endpoint
 * @param request - The request
 * @param speed - The measured speed of the service
 * @param isPreferred - True if all nodes prefer the endpoint for the request's shared parts
 * @returns The parts
 * @example
 * explainEstimate(view, request, speed, false).loadMs;
 */
export function explainEstimate(
    view: EndpointView,
    request: PlacementRequest,
    speed: ServiceSpeed,
    isPreferred: boolean,
): EstimateParts {
    let current: EndpointView = {
        ...view,
        pace: USUAL_PACE,
        cachedTokens: 0,
        occupancy: 0,
        pendingTokens: 0,
        roundTripMs: 0,
        distancePenaltyMs: 0,
        biasMs: 0,
        coldMs: 0,
        failureRate: 0,
    };
    let isCounted = false;
    let beforeMs = 0;
    const addState = (changes: Partial<EndpointView>): number => {
        current = { ...current, ...changes };
        const nowMs = estimateResponseMs(current, request, speed, isCounted);
        const partMs = nowMs - beforeMs;
        beforeMs = nowMs;
        return partMs;
    };
    const baseMs = addState({});
    const paceMs = addState({ pace: view.pace ?? USUAL_PACE });
    isCounted = isPreferred;
    return {
        baseMs,
        paceMs,
        prefixMs: addState({ cachedTokens: view.cachedTokens }),
        loadMs: addState({ occupancy: view.occupancy, pendingTokens: view.pendingTokens }),
        distanceMs: addState({ roundTripMs: view.roundTripMs, distancePenaltyMs: view.distancePenaltyMs }),
        biasMs: addState({ biasMs: view.biasMs }),
        coldMs: addState({ coldMs: view.coldMs }),
        failuresMs: addState({ failureRate: view.failureRate }),
    };
}
