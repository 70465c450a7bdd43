/**
 * @module Plans how many endpoints of a service are to run in each failure domain.
 */
import type { FleetBounds } from "../../model/gateway";

/** Share of an endpoint's time that may be spent on prefill, so that most requests don't have to wait. */
const MAX_PREFILL_UTILIZATION = 0.7;
/**
 * Share of the required endpoints that must remain if another failure domain is lost while the cloud refuses
 * reclaimable endpoints.
 */
const RESERVE_SHARE = 0.4;
/** Reclaimable endpoints are kept up to this multiple of the requirement, since new ones have an empty prefix cache. */
const SCALE_DOWN_FACTOR = 1.25;
/** Share of an endpoint's slots that may be in use. */
const MAX_SLOT_UTILIZATION = 0.7;

/** Load of a service, summed over all nodes, and the speed of its endpoints. */
export interface FleetDemand {
    /** Uncached prompt tokens that arrive per second. */
    readonly tokensPerSecond: number;
    /** Requests in progress. */
    readonly inFlight: number;
    /** Prompt tokens that one endpoint prefills per millisecond. */
    readonly tokensPerMs: number;
    /** Requests that one endpoint processes at once. */
    readonly slots: number;
}

/** Endpoints of a service in one failure domain, without draining ones. */
export interface DomainFleet {
    readonly failureDomain: string;
    /** On-demand endpoints that serve, or were ordered and are starting. */
    readonly onDemand: number;
    /** Reclaimable endpoints that serve, or were ordered and are starting. */
    readonly reclaimable: number;
    /** Reclaimable endpoints that serve. */
    readonly reclaimableServing: number;
    /** True while the cloud refuses reclaimable endpoints there. */
    readonly isReclaimableRefused: boolean;
    /** True if the cloud refuses reclaimable endpoints there or did so recently. */
    readonly wasReclaimableRefused: boolean;
    /** True while the cloud refuses on-demand endpoints there. */
    readonly isOnDemandRefused: boolean;
}

/** Endpoints of a service that are to run in a failure domain. */
export interface DomainPlan {
    readonly failureDomain: string;
    readonly onDemand: number;
    readonly reclaimable: number;
}

/**
 * Computes how many endpoints the load requires.
 *
 * @param demand - The load
 * @returns A number of endpoints, not rounded
 * @example
 * computeRequiredEndpoints({ tokensPerSecond: 90_000, inFlight: 40, tokensPerMs: 60, slots: 64 }); //=> 3.03
 */
export function computeRequiredEndpoints(demand: FleetDemand): number {
    const forPrefill = demand.tokensPerSecond / 1_000 / Math.max(0.1, demand.tokensPerMs) / MAX_PREFILL_UTILIZATION;
    const forSlots = demand.inFlight / Math.max(1, demand.slots) / MAX_SLOT_UTILIZATION;
    return forPrefill + forSlots;
}

/**
 * Plans a service's fleet. Reclaimable endpoints are spread over all failure domains, so that enough of them remain
 * after the loss of one domain. On-demand endpoints cover what the reclaimable ones don't, in the cheapest domains, and
 * are kept until the reclaimable endpoints that replace them serve.
 *
 * @param required - Number of endpoints that the load requires
 * @param fleet - The existing endpoints in each failure domain
 * @param bounds - Limits and prices
 * @returns The plan, one entry for each failure domain
 * @example
 * planGatewayFleet(3.6, fleet, service.fleet);
 */
export function planGatewayFleet(
    required: number,
    fleet: readonly DomainFleet[],
    bounds: FleetBounds,
): readonly DomainPlan[] {
    const countPerDomain = (load: number) =>
        bounds.reclaimablePrice === undefined ? 0 : Math.ceil(load / Math.max(1, fleet.length - 1));
    const reclaimable = fleet.map(domain => {
        const kept = Math.min(domain.reclaimable, countPerDomain(required * SCALE_DOWN_FACTOR));
        const wanted = Math.min(Math.max(countPerDomain(required), kept), bounds.perDomainMax);
        return domain.isReclaimableRefused ? Math.min(wanted, domain.reclaimable) : wanted;
    });
    const existing = sumOf(fleet.map(domain => domain.onDemand));
    const minimum = Math.max(
        countMissing(required, fleet, domain => domain.reclaimable),
        countReserve(required, fleet),
    );
    const maximum = countMissing(required, fleet, domain => domain.reclaimableServing);
    const onDemand = planOnDemand(Math.max(minimum, Math.min(maximum, existing)), fleet, bounds);
    return fleet.map((domain, index) => ({
        failureDomain: domain.failureDomain,
        onDemand: onDemand[index] ?? 0,
        reclaimable: Math.min(reclaimable[index] ?? 0, bounds.perDomainMax - (onDemand[index] ?? 0)),
    }));
}

/**
 * Counts the on-demand endpoints to hold in reserve against the reclaim of another failure domain while the cloud
 * refuses reclaimable endpoints. Domains are often reclaimed in quick succession, and a domain is emptied faster than
 * an on-demand endpoint starts.
 */
function countReserve(required: number, fleet: readonly DomainFleet[]): number {
    if (!fleet.some(domain => domain.wasReclaimableRefused)) {
        return 0;
    }
    const serving = fleet.map(domain => domain.reclaimableServing);
    return Math.max(0, Math.ceil(required * RESERVE_SHARE - (sumOf(serving) - Math.max(...serving))));
}

/** Counts the on-demand endpoints that are required in addition to the counted ones. */
function countMissing(required: number, fleet: readonly DomainFleet[], count: (domain: DomainFleet) => number): number {
    return Math.max(0, Math.ceil(required - sumOf(fleet.map(count))));
}

/**
 * Distributes on-demand endpoints: first what each domain needs for its minimum, then where such endpoints exist
 * already, and then evenly over all domains, the cheapest first.
 */
function planOnDemand(count: number, fleet: readonly DomainFleet[], bounds: FleetBounds): readonly number[] {
    const counts = fleet.map(domain =>
        Math.max(0, Math.min(bounds.perDomainMin, bounds.perDomainMax) - domain.reclaimable),
    );
    const order = fleet
        .map((_domain, index) => index)
        .sort((left, right) => readPrice(bounds, fleet[left]) - readPrice(bounds, fleet[right]));
    let missing = count - sumOf(counts);
    const addWhere = (canAdd: (domain: DomainFleet, planned: number) => boolean) => {
        for (const index of order) {
            const domain = fleet[index];
            while (missing > 0 && domain !== undefined && canAdd(domain, counts[index] ?? 0)) {
                counts[index] = (counts[index] ?? 0) + 1;
                missing--;
            }
        }
    };
    const isBelowMax = (domain: DomainFleet, planned: number) => planned + domain.reclaimable < bounds.perDomainMax;
    addWhere((domain, planned) => planned < Math.min(domain.onDemand, bounds.perDomainMax));
    for (let round = 1; missing > 0 && round <= bounds.perDomainMax; round++) {
        addWhere((domain, planned) => planned < round && !domain.isOnDemandRefused && isBelowMax(domain, planned));
    }
    return counts;
}

function readPrice(bounds: FleetBounds, domain: DomainFleet | undefined): number {
    return bounds.domainPrices[domain?.failureDomain ?? ""] ?? 1;
}

function sumOf(numbers: readonly number[]): number {
    return numbers.reduce((sum, number) => sum + number, 0);
}
