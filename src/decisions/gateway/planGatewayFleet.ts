/**
 * @module How many endpoints of a service are wanted in each failure domain.
 */
import type { FleetBounds } from "../../model/gateway";

/** Share of an endpoint's time that may be spent on reading prompts, so that most requests find it free. */
const BUSY_SHARE = 0.5;
/** Share of an endpoint's places that may be taken. */
const SLOT_SHARE = 0.7;
/** Share of the need that on-demand endpoints carry, since all reclaimable ones can go within seconds. */
const ON_DEMAND_SHARE = 0.25;

/** Load of a service over all nodes. */
export interface FleetDemand {
    readonly tokensPerSecond: number;
    readonly inFlight: number;
    /** Prompt tokens that one endpoint reads in a millisecond. */
    readonly tokensPerMs: number;
    /** Requests that one endpoint processes at once. */
    readonly slots: number;
}

/** Endpoints of a failure domain that serve, are starting or were ordered; draining ones left out. */
export interface DomainFleet {
    readonly failureDomain: string;
    readonly onDemand: number;
    readonly reclaimable: number;
    /** True while reclaimable endpoints are refused there. */
    readonly isReclaimableRefused: boolean;
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
 * computeNeed({ tokensPerSecond: 90_000, inFlight: 40, tokensPerMs: 60, slots: 64 }); //=> 3.89
 */
export function computeNeed(demand: FleetDemand): number {
    const reading = demand.tokensPerSecond / 1_000 / Math.max(0.1, demand.tokensPerMs) / BUSY_SHARE;
    const places = demand.inFlight / Math.max(1, demand.slots) / SLOT_SHARE;
    return reading + places;
}

/**
 * Plans a service's fleet: reclaimable endpoints in all failure domains, enough that the loss of one domain leaves what
 * is needed; a few on-demand ones where they are cheapest; and on-demand ones for what reclaimable ones are refused.
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
    const byPrice = [...fleet].sort((left, right) => readPrice(bounds, left) - readPrice(bounds, right));
    if (bounds.reclaimablePrice === undefined) {
        return planOnDemand(Math.ceil(need), byPrice, bounds, new Map());
    }
    const perDomain = Math.ceil(need / Math.max(1, fleet.length - 1));
    const reclaimable = new Map(
        fleet.map(domain => {
            const wanted = Math.min(perDomain, bounds.perDomainMax);
            return [domain.failureDomain, domain.isReclaimableRefused ? Math.min(wanted, domain.reclaimable) : wanted];
        }),
    );
    const covered = sumOf(
        fleet.map(domain => Math.min(domain.reclaimable, reclaimable.get(domain.failureDomain) ?? 0)),
    );
    const least = Math.ceil(need * ON_DEMAND_SHARE);
    return planOnDemand(Math.max(least, Math.ceil(need - covered)), byPrice, bounds, reclaimable);
}

function planOnDemand(
    count: number,
    byPrice: readonly DomainFleet[],
    bounds: FleetBounds,
    reclaimable: ReadonlyMap<string, number>,
): readonly DomainPlan[] {
    const plans = byPrice.map(domain => {
        const others = reclaimable.get(domain.failureDomain) ?? 0;
        return { domain, reclaimable: others, onDemand: Math.max(0, bounds.perDomainMin - others) };
    });
    let missing = count - sumOf(plans.map(plan => plan.onDemand));
    while (missing > 0) {
        const open = plans.filter(
            plan =>
                !(plan.domain.isOnDemandRefused && plan.onDemand >= plan.domain.onDemand) &&
                plan.onDemand + Math.min(plan.reclaimable, Math.max(plan.domain.reclaimable, 0)) < bounds.perDomainMax,
        );
        const next = open.reduce<(typeof plans)[number] | undefined>(
            (best, plan) => (best === undefined || plan.onDemand < best.onDemand ? plan : best),
            undefined,
        );
        if (next === undefined) {
            break;
        }
        next.onDemand++;
        missing--;
    }
    return plans.map(plan => ({
        failureDomain: plan.domain.failureDomain,
        onDemand: plan.onDemand,
        reclaimable: Math.min(plan.reclaimable, bounds.perDomainMax - plan.onDemand),
    }));
}

function readPrice(bounds: FleetBounds, domain: DomainFleet): number {
    return bounds.domainPrices[domain.failureDomain] ?? 1;
}

function sumOf(numbers: readonly number[]): number {
    return numbers.reduce((sum, number) => sum + number, 0);
}
