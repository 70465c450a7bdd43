/**
 * @module Decides what a node may charge after a restart of all nodes, by what has left the quota window of the recorded usage
 * before it.
 */
import { NEWS_DELAY_MAX_MS, NEWS_DELAY_USUAL_MS, RECENT_USAGE_MS } from "../relays/constants";
import type { LeftUsage } from "./computeLeftUsage";

/** Time over which the usage is brought to what has left; well above the delay of the reports, or it would swing. */
const CORRECTION_MS = 1_500;
/** Highest rate, as a multiple of that at which the former usage leaves the window. */
const RATE_MAX = 1.5;
/** What left faster than this multiple of the steady rate, such as a burst, is granted at that rate: reports are too late for more. */
const STEADY_MAX = 1.25;

/** What a node knows of an account when it judges a request. */
export interface FormerChargeInput {
    readonly left: LeftUsage;
    readonly limit: number;
    readonly windowMs: number;
    /** Longest time for which one of the nodes has counted usage. */
    readonly countsForMs: number;
    /** Size of the request. */
    readonly amount: number;
    /** Live nodes, and for how long the others' reports have arrived here; 0 if they don't. */
    readonly nodes: number;
    readonly inTouchMs: number;
    /** Share of the limit for this node and those in reach of it, and whether the others leave this node any. */
    readonly reachableShare: number;
    readonly isCounted: boolean;
    /** Charged at this node since its start, and in the time for which that may not have been reported. */
    readonly own: number;
    readonly ownUnreported: number;
    /** Random part of a request, drawn once. */
    readonly firstPart: number;
    /** Charged by all nodes since the restart, and asked for recently at this node and at all nodes. */
    readonly known: number;
    readonly ownAsked: number;
    readonly asked: number;
    /** Mean rate of the charges of all nodes, in each millisecond. */
    readonly recentRate: number;
}

/** What is admitted. */
export interface FormerCharge {
    /** Share of what is asked for; 0 or less: nothing now. */
    readonly admittedShare: number;
    /** Time after which a request that is refused now may be admitted. */
    readonly retryMs: number;
}

/**
 * Decides it.
 *
 * @param input - What is known
 * @returns What is admitted
 * @example
 * decideFormerCharge({ left, limit, amount, ... }).admittedShare > 0;
 */
export function decideFormerCharge(input: FormerChargeInput): FormerCharge {
    const { limit, amount, nodes, reachableShare, windowMs } = input;
    const left = {
        amount: Math.min(input.left.amount, limit, (STEADY_MAX * limit * input.countsForMs) / windowMs),
        perMs: Math.min(input.left.perMs, (STEADY_MAX * limit) / windowMs),
    };
    if (!input.isCounted) {
        return { admittedShare: 0, retryMs: NEWS_DELAY_USUAL_MS };
    }
    if (nodes > 1 && input.inTouchMs < NEWS_DELAY_MAX_MS) {
        // Nodes that started together don't know each other's usage yet, so each keeps to an equal part, which may be less than
        // a request: the random part of it makes the sum over all nodes right on average.
        const part = left.amount / nodes;
        const excess = input.own + input.firstPart * amount - part;
        return { admittedShare: excess < 0 ? 1 : 0, retryMs: (nodes * excess) / left.perMs };
    }
    const leavingRate = left.perMs * reachableShare;
    // All nodes are paced, so that the mean of their usage and of the reports' delay says what was charged since. With the
    // longest delay the admitted share would swing between all and nothing.
    const unreported = Math.max(input.ownUnreported, input.recentRate * NEWS_DELAY_USUAL_MS);
    const remaining = left.amount * reachableShare - input.known - unreported;
    if (remaining < amount) {
        return { admittedShare: 0, retryMs: (amount - remaining) / leavingRate };
    }
    const rate = Math.min(leavingRate + remaining / CORRECTION_MS, RATE_MAX * leavingRate);
    const admittedShare = (rate * RECENT_USAGE_MS) / input.asked;
    // Refused requests come back, so that the more of them compete for what is admitted here.
    return { admittedShare, retryMs: (amount * RECENT_USAGE_MS) / (input.ownAsked * admittedShare ** 2) };
}
