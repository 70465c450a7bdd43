/**
 * @module Decides how many requests a node keeps at the endpoints of its failure domain, and how many it may have at those of
 * others, so that only the surplus leaves.
 */

/** The endpoints of a service in one failure domain that take requests. */
export interface DomainLoad {
    readonly domain: string;
    readonly isSameRegion: boolean;
    /** Requests that the endpoints process at once. */
    readonly slots: number;
    /** Requests in progress there from all nodes, and from this node. */
    readonly inFlight: number;
    readonly ownInFlight: number;
    /** Estimated time until a request of this node gets the first part of its answer there, in milliseconds. */
    readonly expectedMs: number;
    /** Gives the requests in progress with which a further one is expected to be answered in this time. */
    readonly estimateInFlight: (expectedMs: number) => number;
}

/** What the decision is based on. */
export interface SpilloverInput {
    readonly nowMs: number;
    /** True if the sums of the other nodes are recent. */
    readonly isFresh: boolean;
    /** The latency objective of the requests, in milliseconds. */
    readonly objectiveMs: number;
    /** Number of nodes in a failure domain, on average. */
    readonly nodesPerDomain: number;
    readonly own: DomainLoad;
    readonly others: readonly DomainLoad[];
}

/** What a node may have in progress in another failure domain. */
export interface DomainWindow {
    readonly isSameRegion: boolean;
    /** Requests of this node in progress there. */
    readonly window: number;
    /** How far leaving pays, from 0 to 1. */
    readonly gain: number;
}

/** How many requests a node may have in progress in each failure domain. */
export interface Spillover {
    readonly atMs: number;
    /** Requests of this node in the own failure domain above which further ones leave; infinite: all stay. */
    readonly ownWindow: number;
    /** The same for leaving to another region, as a multiple. */
    readonly regionFactor: number;
    /** How far the own slots are all in use, from 0 (some are free) to 1. */
    readonly fullness: number;
    readonly others: ReadonlyMap<string, DomainWindow>;
}

/**
 * Shares of the objective that the wait at home may take before requests leave. Bytes between regions cost more than those
 * between failure domains, so leaving the region pays later.
 */
const SAME_REGION_START_SHARE = 0.6;
const OTHER_REGION_START_SHARE = 0.8;
/** Shares of the objective by which an answer must be expected earlier elsewhere; twice as much counts in full. */
const SAME_REGION_MARGIN_SHARE = 0.05;
const OTHER_REGION_MARGIN_SHARE = 0.1;
/** Requests in progress per slot at home up to which none leaves, and from which all of the surplus may. */
const FULL_FROM = 1;
const FULL_UNTIL = 1.1;
/**
 * Share of the objective that the wait in another failure domain of the region may take: a few requests that wait there cost less
 * than bytes between regions. It is less than the share at home by twice the margin: old loads would make the shares oscillate
 * if the loads settled where the gain changes.
 */
const SAME_REGION_FILL_SHARE = 0.5;
/** Requests in progress per slot up to which a failure domain of another region gets some; of single ones there less is known. */
const OTHER_REGION_FILL = 0.9;
/**
 * The part of a failure domain's free slots that all nodes of another one claim together at once. With less in the same region,
 * requests go to other regions while it still has free slots.
 */
const SAME_REGION_CLAIMED_SHARE = 1;
const OTHER_REGION_CLAIMED_SHARE = 0.5;
/** Time in which windows follow the loads; it is longer than the age of the sums, so that they don't overshoot. */
const FOLLOW_MS = 1_000;

/** No request goes to another failure domain. */
export const NO_SPILLOVER: Spillover = {
    atMs: Number.NEGATIVE_INFINITY,
    ownWindow: Number.POSITIVE_INFINITY,
    regionFactor: 1,
    fullness: 0,
    others: new Map(),
};

/**
 * Decides the windows. The own one follows the node's part of what the own failure domain can have in progress until answers
 * take too long; those of the others follow what the node has there and a part of what is free. All of them follow with
 * the time that passed, whatever the number of decisions in it. Without recent sums all requests stay.
 *
 * @param before - The windows before
 * @param input - The loads, and how recent they are
 * @returns The windows now
 * @example
 * spillover = decideSpillover(spillover, { nowMs, isFresh: true, objectiveMs: 200, nodesPerDomain: 10, own, others });
 */
export function decideSpillover(before: Spillover, input: SpilloverInput): Spillover {
    const { nowMs, own, objectiveMs } = input;
    if (!input.isFresh) {
        return { ...NO_SPILLOVER, atMs: nowMs };
    }
    const stepMs = Math.max(0, nowMs - before.atMs);
    const least = own.slots * FULL_UNTIL;
    const nearLimit = Math.max(least, own.estimateInFlight(objectiveMs * SAME_REGION_START_SHARE));
    const farLimit = Math.max(least, own.estimateInFlight(objectiveMs * OTHER_REGION_START_SHARE));
    const fairWindow = nearLimit / input.nodesPerDomain;
    const ownTarget = Math.max(fairWindow / 2, (own.ownInFlight * nearLimit) / Math.max(1, own.inFlight));
    const ownBefore =
        Number.isFinite(before.ownWindow) && before.ownWindow > 0 ? before.ownWindow : Math.max(fairWindow, ownTarget);
    return {
        atMs: nowMs,
        ownWindow: own.slots === 0 ? 0 : advanceTowards(ownBefore, ownTarget, stepMs),
        regionFactor: own.slots === 0 ? 1 : farLimit / nearLimit,
        fullness: own.slots === 0 ? 1 : computeRamp(own.inFlight / own.slots, FULL_FROM, FULL_UNTIL),
        others: new Map(
            input.others.map(other => {
                const limit = other.isSameRegion
                    ? Math.max(other.slots, other.estimateInFlight(objectiveMs * SAME_REGION_FILL_SHARE))
                    : other.slots * OTHER_REGION_FILL;
                const free = limit - other.inFlight;
                const claimed = other.isSameRegion ? SAME_REGION_CLAIMED_SHARE : OTHER_REGION_CLAIMED_SHARE;
                const target = Math.max(0, other.ownInFlight + (free * claimed) / input.nodesPerDomain);
                const windowBefore = before.others.get(other.domain)?.window ?? target;
                return [
                    other.domain,
                    {
                        isSameRegion: other.isSameRegion,
                        window: advanceTowards(windowBefore, target, stepMs),
                        gain: computeGain(own, other, objectiveMs),
                    },
                ];
            }),
        ),
    };
}

function computeGain(own: DomainLoad, other: DomainLoad, objectiveMs: number): number {
    if (own.slots === 0) {
        return 1;
    }
    const marginMs = objectiveMs * (other.isSameRegion ? SAME_REGION_MARGIN_SHARE : OTHER_REGION_MARGIN_SHARE);
    return computeRamp(own.expectedMs - other.expectedMs, marginMs, 2 * marginMs);
}

/** Moves a value towards a target, by the same amount in one step as in several. */
function advanceTowards(value: number, target: number, stepMs: number): number {
    return target + (value - target) * Math.exp(-stepMs / FOLLOW_MS);
}

/** Gives 0 up to `from`, 1 from `until` on, and a share between them. */
export function computeRamp(value: number, from: number, until: number): number {
    return Math.min(1, Math.max(0, (value - from) / (until - from)));
}
