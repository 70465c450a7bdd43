/**
 * @module How many endpoints of a service are wanted in each failure domain.
 */
import type { FleetBounds } from "../../model/gateway";

/** Share of an endpoint's time that may be spent on reading prompts, so that most requests find it free. */
const BUSY_SHARE = 0.7;
/** Share of the need that is covered even if another failure domain goes while reclaimable endpoints are refused. */
const AT_RISK_SHARE = 0.4;
/** Reclaimable endpoints are kept up to this multiple of the need, since a new one starts without cached prompts. */
const KEPT_FACTOR = 1.25;
/** Share of an endpoint's places that may be taken. */
const SLOT_SHARE = 0.7;

/** Load of a service over all nodes. */
export interface FleetDemand {
    readonly tokensPerSecond: number;
    readonly inFlight: number;
    /** Prompt tokens that one endpoint reads in a millisecond. */
    readonly tokensPerMs: number;
    /** Requests that one endpoint processes at once. */
    readonly slots: number;
}

/** Endpoints of a failure domain; draining ones left out. */
export interface DomainFleet {
    readonly failureDomain: string;
    /** Those that serve, or were ordered and are starting. */
    readonly onDemand: number;
    readonly reclaimable: number;
    /** Reclaimable ones that serve already. */
    readonly reclaimableServing: number;
    /** True while reclaimable endpoints are refused there. */
    readonly isReclaimableRefused: boolean;
    /** True if reclaimable endpoints were refused there a short time ago or still are. */
    readonly wasReclaimableRefused: boolean;
    readonly isOnDemandRefused: boolean;
}

/** Wanted endpoints of a failure domain. */
export interface DomainPlan {
    readonly failureDomain: string;
    readonly onDemand: number;
    readonly reclaimable: number;
}

/**
 * Computes how many endpoints the load needs.
 *
 * @param demand - The load
 * @returns A number of endpoints, not rounded
 * @example
 * computeNeed({ tokensPerSecond: 90_000, inFlight: 40, tokensPerMs: 60, slots: 64 }); //=> 3.03
 */
export function computeRequiredEndpoints(demand: FleetDemand): number {
    const reading = demand.tokensPerSecond / 1_000 / Math.max(0.1, demand.tokensPerMs) / BUSY_SHARE;
    const places = demand.inFlight / Math.max(1, demand.slots) / SLOT_SHARE;
    return reading + places;
}

/**
 * Plans a service's fleet: reclaimable endpoints in all failure domains, enough that the loss of one domain leaves what
 * is needed, and on-demand ones, where they are cheapest, for what reclaimable ones don't cover. On-demand ones are kept
 * until the reclaimable ones that replace them serve.
 *
 * @param need - Endpoints that the load needs
 * @param fleet - What is there
 * @param bounds - Limits and prices
 * @returns The plan, one entry for each failure domain
 * @example
 * planGatewayFleet(3.6, fleet, service.fleet);
 */
export function planGatewayFleet(
    need: number,
    fleet: readonly DomainFleet[],
    bounds: FleetBounds,
): readonly DomainPlan[] {
    const countPerDomain = (load: number) =>
        bounds.reclaimablePrice === undefined ? 0 : Math.ceil(load / Math.max(1, fleet.length - 1));
    const reclaimable = fleet.map(domain => {
        const kept = Math.min(domain.reclaimable, countPerDomain(need * KEPT_FACTOR));
        const most = Math.min(Math.max(countPerDomain(need), kept), bounds.perDomainMax);
        return domain.isReclaimableRefused ? Math.min(most, domain.reclaimable) : most;
    });
    const present = sumOf(fleet.map(domain => domain.onDemand));
    const least = Math.max(
        countMissing(need, fleet, domain => domain.reclaimable),
        countAtRisk(need, fleet),
    );
    const most = countMissing(need, fleet, domain => domain.reclaimableServing);
    const onDemand = planOnDemand(Math.max(least, Math.min(most, present)), fleet, bounds);
    return fleet.map((domain, index) => ({
        failureDomain: domain.failureDomain,
        onDemand: onDemand[index] ?? 0,
        reclaimable: Math.min(reclaimable[index] ?? 0, bounds.perDomainMax - (onDemand[index] ?? 0)),
    }));
}

/**
 * Counts the on-demand endpoints that are needed in case the next failure domain is reclaimed while reclaimable ones
 * are refused: reclaims come in waves, and an on-demand endpoint starts more slowly than a domain is emptied.
 */
function countAtRisk(need: number, fleet: readonly DomainFleet[]): number {
    if (!fleet.some(domain => domain.wasReclaimableRefused)) {
        return 0;
    }
    const serving = fleet.map(domain => domain.reclaimableServing);
    return Math.max(0, Math.ceil(need * AT_RISK_SHARE - (sumOf(serving) - Math.max(...serving))));
}

/** Counts the on-demand endpoints that are needed beside reclaimable ones. */
function countMissing(need: number, fleet: readonly DomainFleet[], count: (domain: DomainFleet) => number): number {
    return Math.max(0, Math.ceil(need - sumOf(fleet.map(count))));
}

/** Spreads on-demand endpoints: the least that each domain must have, then where they are, then where they are cheap. */
function planOnDemand(count: number, fleet: readonly DomainFleet[], bounds: FleetBounds): readonly number[] {
    const counts = fleet.map(domain =>
        Math.max(0, Math.min(bounds.perDomainMin, bounds.perDomainMax) - domain.reclaimable),
    );
    const order = fleet
        .map((_domain, index) => index)
        .sort((left, right) => readPrice(bounds, fleet[left]) - readPrice(bounds, fleet[right]));
    let missing = count - sumOf(counts);
    const addWhere = (hasRoom: (domain: DomainFleet, planned: number) => boolean) => {
        for (const index of order) {
            const domain = fleet[index];
            while (missing > 0 && domain !== undefined && hasRoom(domain, counts[index] ?? 0)) {
                counts[index] = (counts[index] ?? 0) + 1;
                missing--;
            }
        }
    };
    const hasPlace = (domain: DomainFleet, planned: number) => planned + domain.reclaimable < bounds.perDomainMax;
    addWhere((domain, planned) => planned < Math.min(domain.onDemand, bounds.perDomainMax));
    for (let round = 1; missing > 0 && round <= bounds.perDomainMax; round++) {
        addWhere((domain, planned) => planned < round && !domain.isOnDemandRefused && hasPlace(domain, planned));
    }
    return counts;
}

function readPrice(bounds: FleetBounds, domain: DomainFleet | undefined): number {
    return bounds.domainPrices[domain?.failureDomain ?? ""] ?? 1;
}

function sumOf(numbers: readonly number[]): number {
    return numbers.reduce((sum, number) => sum + number, 0);
}
