/**
 * @module Choosing the endpoint of an attempt by the expected time to its first answer.
 */
import { hashText } from "../../base/hashText";
import type { Random } from "../../base/random";
import type { PromptPart } from "../../ports/forwardingCodec";

/** An endpoint as this node sees it. */
export interface EndpointView {
    readonly id: string;
    /** Time there and back, in milliseconds. */
    readonly roundTripMs: number;
    /** Added cost of leaving the failure domain or region, in milliseconds of expected time. */
    readonly distancePenaltyMs: number;
    readonly slots: number;
    /** Requests there, by its last word, corrected by what this node has sent and seen end since. */
    readonly occupancy: number;
    /** Prompt tokens that this node has sent there and that have not led to a first event yet. */
    readonly pendingTokens: number;
    /** What answers took longer than expected lately, in milliseconds. */
    readonly biasMs: number;
    /** Share of failures among the attempts of late. */
    readonly failureRate: number;
    /** Prompt tokens from the beginning that this node believes to be cached there. */
    readonly cachedTokens: number;
}

/** What is to be placed. */
export interface PlacementRequest {
    /** Tokens of the prompt; 0 for requests without one. */
    readonly promptTokens: number;
    readonly promptParts: readonly PromptPart[];
}

/** What is known of the service. */
export interface ServiceSpeed {
    /** Prompt tokens that one endpoint reads in a millisecond, beyond cached ones. */
    readonly tokensPerMs: number;
    /** Time that a request takes at an idle endpoint, in milliseconds. */
    readonly serviceMs: number;
}

/** An attempt that fails costs its caller about as much as this. */
const FAILURE_COST_MS = 2_500;
/** Share of a service's time by which an endpoint that is nearly full is slower. */
const NEARLY_FULL_SHARE = 0.7;
/** Share of the shared tokens that are taken to be cached at the endpoint where all nodes place them. */
const PLACED_SHARE = 0.8;
/** Shared tokens that are read again cost this many times their reading time more, since others then wait for them. */
const READ_AGAIN_WEIGHT = 3;
/** Estimates within this range count as equal, so that nodes with the same reports do not all choose the same one. */
const EQUAL_MS = 4;

/**
 * Chooses an endpoint.
 *
 * @param views - The candidates
 * @param request - What is placed
 * @param speed - What is known of the service
 * @param random - Breaks ties
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
    const preferred = findPreferred(views, request.promptParts);
    const scored = views.map(view => ({
        id: view.id,
        ms: estimateResponseMs(view, request, speed, view.id === preferred),
    }));
    const bestMs = Math.min(...scored.map(({ ms }) => ms));
    const equal = scored.filter(({ ms }) => ms <= bestMs + EQUAL_MS);
    return equal[random.drawInteger(0, Math.max(0, equal.length - 1))]?.id;
}

/**
 * Estimates the time until an endpoint's first answer.
 *
 * @param view - The endpoint
 * @param request - What is placed
 * @param speed - What is known of the service
 * @param isPreferred - True if all nodes place the request's shared parts there
 * @returns Milliseconds, costs of distance and of failures included
 * @example
 * estimateAnswerMs(view, request, speed, false);
 */
export function estimateResponseMs(
    view: EndpointView,
    request: PlacementRequest,
    speed: ServiceSpeed,
    isPreferred: boolean,
): number {
    const shared = sumSharedTokens(request.promptParts);
    const cached = Math.max(view.cachedTokens, isPreferred ? PLACED_SHARE * shared : 0);
    const uncached = Math.max(0, request.promptTokens - cached);
    const readMs = (uncached + view.pendingTokens) / speed.tokensPerMs;
    const readAgainMs = (READ_AGAIN_WEIGHT * Math.max(0, shared - cached)) / speed.tokensPerMs;
    const fullness = (view.occupancy + 1) / Math.max(1, view.slots);
    const slowMs = speed.serviceMs * Math.max(0, fullness - NEARLY_FULL_SHARE);
    const queueMs = speed.serviceMs * 2 * Math.max(0, fullness - 1);
    return (
        view.roundTripMs +
        view.distancePenaltyMs +
        speed.serviceMs +
        readMs +
        readAgainMs +
        slowMs +
        queueMs +
        view.biasMs +
        view.failureRate * FAILURE_COST_MS
    );
}

/** Finds the endpoint at which every node places a chain of shared parts, by rendezvous hashing. */
function findPreferred(views: readonly EndpointView[], parts: readonly PromptPart[]): string | undefined {
    const shared = parts.at(-2);
    if (shared === undefined) {
        return undefined;
    }
    let best: string | undefined;
    let bestHash = -1;
    for (const { id } of views) {
        const hash = hashText(`${shared.id}|${id}`);
        if (hash > bestHash) {
            bestHash = hash;
            best = id;
        }
    }
    return best;
}

/** Sums all parts but the last one, which belongs to the request or its session. */
function sumSharedTokens(parts: readonly PromptPart[]): number {
    return parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}
