/**
 * @module Decides which share of a node's requests goes to the endpoints of other failure domains.
 */

/** The endpoints of a service in one failure domain. */
export interface DomainLoad {
    readonly domain: string;
    readonly isSameRegion: boolean;
    /** Requests that the endpoints process at once, and those in progress there from all nodes. */
    readonly slots: number;
    readonly inFlight: number;
    /** Estimated time until a request of this node gets the first part of its answer there, in milliseconds. */
    readonly expectedMs: number;
}

/** What the decision is based on. */
export interface SpilloverInput {
    readonly nowMs: number;
    /** True if the sums of the other nodes are recent. */
    readonly isFresh: boolean;
    /** The latency objective of the requests, in milliseconds. */
    readonly objectiveMs: number;
    readonly own: DomainLoad;
    readonly others: readonly DomainLoad[];
}

/** The shares of a node's requests that go to other failure domains. */
export interface Spillover {
    /** Sum of the shares. */
    readonly share: number;
    /** Share of each other failure domain; only those with one. */
    readonly shares: ReadonlyMap<string, number>;
    readonly atMs: number;
}

/**
 * Share of the objective above which the expected time makes spillover grow, and share of the own slots in use below
 * which it decays. Between the two it stays as it is, so that it doesn't oscillate.
 */
const START_OBJECTIVE_SHARE = 0.8;
const STOP_USED_SHARE = 0.7;
/** Growth per second when the expected time is at least twice the threshold; the sums are up to 0.8 s old. */
const GROWTH_PER_S = 0.4;
/**
 * Part of the free slots of a failure domain that its share may grow into per second. The sums don't show yet what went
 * there in the last 0.8 s; with a greater part the shares oscillate.
 */
const FILL_PER_S = 0.25;
/** Half-life of the share while it decays. */
const DECAY_HALF_LIFE_MS = 4_000;
/** Smaller shares end. */
const SHARE_MIN = 0.01;
/** Share of its slots that a failure domain keeps free of the spillover of others. */
const RESERVED_SHARE = 0.1;
/** Longest time between two decisions that counts, for example after a pause without requests. */
const STEP_MAX_MS = 1_000;
const MS_PER_S = 1_000;

/** No request goes to another failure domain. */
export const NO_SPILLOVER: Spillover = { share: 0, shares: new Map(), atMs: 0 };

/**
 * Decides the shares. They grow while the endpoints of the own failure domain are expected to answer later than the
 * objective allows, and decay once these have free slots. They are bounded by the free slots of the other failure
 * domains, and those of the same region come first. Without recent sums, or with nothing to gain, they are zero.
 *
 * @param before - The shares before
 * @param input - The loads, and how recent they are
 * @returns The shares now
 * @example
 * spillover = decideSpillover(spillover, { nowMs, isFresh: true, objectiveMs: 200, own, others });
 */
export function decideSpillover(before: Spillover, input: SpilloverInput): Spillover {
    const { nowMs, own, objectiveMs } = input;
    if (!input.isFresh || own.slots === 0) {
        return { ...NO_SPILLOVER, atMs: nowMs };
    }
    const stepMs = Math.min(STEP_MAX_MS, Math.max(0, nowMs - before.atMs));
    const share = computeShare(before.share, own, objectiveMs * START_OBJECTIVE_SHARE, stepMs);
    if (share < SHARE_MIN) {
        return { ...NO_SPILLOVER, atMs: nowMs };
    }
    // What the own endpoints have in progress is the rest of the demand; what waits there beyond their slots is not new.
    const demand = Math.max(1, Math.min(own.inFlight, own.slots)) / (1 - Math.min(0.9, before.share));
    const useful = input.others.filter(({ expectedMs }) => expectedMs < Math.max(own.expectedMs, objectiveMs));
    const shares = splitShare(share, (FILL_PER_S * stepMs) / MS_PER_S / demand, before.shares, useful);
    return { share: [...shares.values()].reduce((sum, part) => sum + part, 0), shares, atMs: nowMs };
}

function computeShare(share: number, { expectedMs, inFlight, slots }: DomainLoad, startMs: number, stepMs: number) {
    if (expectedMs > startMs) {
        const excess = Math.min(1, (expectedMs - startMs) / startMs);
        return Math.min(1, share + (GROWTH_PER_S * excess * stepMs) / MS_PER_S);
    }
    return inFlight < STOP_USED_SHARE * slots ? share * 0.5 ** (stepMs / DECAY_HALF_LIFE_MS) : share;
}

/** Splits the share among the failure domains by their free slots, those of the same region first. */
function splitShare(
    share: number,
    perFreeSlot: number,
    before: ReadonlyMap<string, number>,
    others: readonly DomainLoad[],
): ReadonlyMap<string, number> {
    const shares = new Map<string, number>();
    let left = share;
    for (const isNear of [true, false]) {
        const rooms = others
            .filter(({ isSameRegion }) => isSameRegion === isNear)
            .map(({ domain, slots, inFlight }) => ({
                domain,
                // What goes there already is part of what is in progress there.
                room: (before.get(domain) ?? 0) + (slots * (1 - RESERVED_SHARE) - inFlight) * perFreeSlot,
            }))
            .filter(({ room }) => room > 0);
        const total = rooms.reduce((sum, { room }) => sum + room, 0);
        const taken = Math.min(left, total);
        if (taken > 0) {
            rooms.forEach(({ domain, room }) => shares.set(domain, (taken * room) / total));
            left -= taken;
        }
    }
    return shares;
}
