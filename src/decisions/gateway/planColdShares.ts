/**
 * @module Plans how failure domains share the requests that one cold endpoint tolerates.
 */
import { hashText } from "../../base/hashText";

/** What a cold endpoint tolerates, and the failure domains that may share it. */
export interface ColdTolerance {
    readonly perSecond: number;
    /** No second may bring more than `perSecond` times `overrun` plus `slack` requests. */
    readonly overrun: number;
    readonly slack: number;
    /** Names of all failure domains, the same at all nodes. */
    readonly failureDomains: readonly string[];
}

/** The share of each failure domain that sends. */
export interface ColdPlan {
    /** Number of failure domains that send to one endpoint; 0 if none may. */
    readonly senders: number;
    /** Requests that each of them may send in any `windowMs`. */
    readonly perWindow: number;
    readonly windowMs: number;
}

const SECOND_MS = 1_000;
/**
 * Nodes of a failure domain that may take themselves for its sender at a time: two, since member lists may differ
 * between the two sides of a cut. The shares are such that the bound holds all the same.
 */
const SENDERS_PER_DOMAIN_MAX = 2;
/** Least share of the highest possible rate with more failure domains, each of whose senders may be lost. */
const RATE_SHARE_MIN = 0.8;

/**
 * Plans the shares. All nodes with the same settings and configuration get the same plan without any messages.
 *
 * @param tolerance - What the endpoint tolerates
 * @returns The plan with the most failure domains of those with nearly the most requests a second
 * @example
 * planColdShares({ perSecond: 9.9, overrun: 1.5, slack: 5, failureDomains: ["a", "b", "c"] }).perWindow; //=> 3
 */
export function planColdShares({ perSecond, overrun, slack, failureDomains }: ColdTolerance): ColdPlan {
    const secondMax = Math.floor(perSecond * overrun + slack);
    const plans = failureDomains.flatMap((_domain, index) => buildPlan(index + 1, perSecond, secondMax) ?? []);
    const bestRate = Math.max(...plans.map(computeRate));
    const plan = plans.filter(each => computeRate(each) >= RATE_SHARE_MIN * bestRate).at(-1);
    if (plan !== undefined) {
        return plan;
    }
    // A bound of one request: it holds while the member lists of the one failure domain agree.
    return failureDomains.length > 0 && secondMax >= 1
        ? { senders: 1, perWindow: 1, windowMs: Math.max(SECOND_MS, SECOND_MS / perSecond) }
        : { senders: 0, perWindow: 0, windowMs: SECOND_MS };
}

/** Builds the plan with a number of sending failure domains; `undefined` if the bound is too low for so many. */
function buildPlan(senders: number, perSecond: number, secondMax: number): ColdPlan | undefined {
    const withinBound = Math.floor(secondMax / (senders * SENDERS_PER_DOMAIN_MAX));
    const perWindow = Math.min(Math.ceil(perSecond / senders), withinBound);
    return perWindow < 1
        ? undefined
        : { senders, perWindow, windowMs: Math.max(SECOND_MS, (SECOND_MS * perWindow * senders) / perSecond) };
}

/** Computes the requests per millisecond of all senders together. */
function computeRate({ senders, perWindow, windowMs }: ColdPlan): number {
    return (senders * perWindow) / windowMs;
}

/**
 * Lists the failure domains that send to an endpoint, by rendezvous hashing, so that endpoints are spread over them.
 *
 * @param endpointId - The endpoint; not its start, which nodes learn at different times
 * @param failureDomains - Names of all failure domains
 * @param senders - Number of those that send
 * @returns Their names
 * @example
 * listSendingDomains("i-1", ["a", "b", "c"], plan.senders);
 */
export function listSendingDomains(
    endpointId: string,
    failureDomains: readonly string[],
    senders: number,
): readonly string[] {
    if (senders >= failureDomains.length) {
        return failureDomains;
    }
    return failureDomains
        .map(domain => ({ domain, score: hashText(`${endpointId}|${domain}`) }))
        .sort((left, right) => right.score - left.score || (left.domain < right.domain ? -1 : 1))
        .slice(0, senders)
        .map(({ domain }) => domain);
}
