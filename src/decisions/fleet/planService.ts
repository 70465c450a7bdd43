/**
 * @module Plans the cheapest VMs for one version of a service.
 */
import { computeUnitsAfterLoss, sumCapacity } from "./_lib/capacityTotals";
import { explainGroup } from "./_lib/explainGroup";
import { chooseInitialCounts } from "./_lib/chooseInitialCounts";
import { optimizeCounts } from "./_lib/optimizeCounts";
import { computeCostPerThousand, listCapacityPools, type CapacityPoolFacts } from "./_lib/listCapacityPools";
import type { VmCounts, CapacityPool } from "./_lib/capacityPool";
import { buildOfferId } from "./buildGroupId";
import { type DeclaredGroup, PlanFinding, type ServiceDemand, type ServicePlan } from "./fleetPlan";

interface CandidatePlan {
    readonly counts: VmCounts;
    readonly unitsAfterLoss: number;
    /** Sum of the comparison prices. */
    readonly comparisonCost: number;
}

/**
 * Plans the VMs of one version of a service. If only one failure domain is usable, the plan uses that one and reports
 * it as a finding.
 *
 * @param demand - The service, version, demand and targets
 * @param facts - Offers, capacities, existing VMs and offers that refuse starts
 * @returns The declared groups, their price and unmet requirements
 * @example
 * planService(demand, { offers, capacities, held: [], refusedOfferIds: new Set() });
 */
export function planService(demand: ServiceDemand, facts: CapacityPoolFacts): ServicePlan {
    const pools = listCapacityPools(demand, facts);
    const domainCount = new Set(pools.map(pool => pool.offer.failureDomain)).size;
    const mixed = choosePlan(pools, demand.unitsPerSecond);
    const onDemandPools = pools.filter(pool => !pool.offer.isReclaimable);
    const onDemand = choosePlan(onDemandPools, demand.unitsPerSecond);
    const isCoveredBy = (candidate: CandidatePlan) => candidate.unitsAfterLoss >= demand.unitsPerSecond * (1 - 1e-9);
    const isOnDemandBetter =
        isCoveredBy(onDemand) && (!isCoveredBy(mixed) || onDemand.comparisonCost < mixed.comparisonCost);
    const [used, chosen] = isOnDemandBetter ? [onDemandPools, onDemand] : [pools, mixed];
    const groups = buildGroups(demand, used, chosen.counts, domainCount);
    const microsPerHour = sumGroupPrices(groups);
    const onDemandMicrosPerHour = isCoveredBy(onDemand) ? sumPoolPrices(onDemandPools, onDemand.counts) : undefined;
    return {
        serviceName: demand.serviceName,
        version: demand.version,
        unitsPerSecond: demand.unitsPerSecond,
        demandReason: demand.demandReason,
        microsPerHour,
        onDemandMicrosPerHour,
        unitsAfterLoss: chosen.unitsAfterLoss,
        findings: listFindings(demand, pools, domainCount, isCoveredBy(chosen), microsPerHour),
        groups,
    };
}

/** Tries each number of domains: spreading wider needs less spare capacity, narrower avoids expensive domains. */
function choosePlan(pools: readonly CapacityPool[], demand: number): CandidatePlan {
    const domainCount = new Set(pools.map(pool => pool.offer.failureDomain)).size;
    if (domainCount === 1) {
        return evaluateCounts(pools, chooseSingleDomainCounts(pools, demand));
    }
    const domainLimits = Array.from({ length: Math.max(0, domainCount - 1) }, (_unused, index) => demand / (index + 1));
    const candidates = domainLimits.map(domainUnits =>
        evaluateCounts(pools, optimizeCounts(pools, chooseInitialCounts(pools, demand, domainUnits), demand)),
    );
    const needed = demand * (1 - 1e-9);
    return candidates.reduce(
        (best, candidate) => {
            const isCovered = candidate.unitsAfterLoss >= needed;
            const isBestCovered = best.unitsAfterLoss >= needed;
            if (isCovered !== isBestCovered) {
                return isCovered ? candidate : best;
            }
            const isBetter = isCovered
                ? candidate.comparisonCost < best.comparisonCost
                : candidate.unitsAfterLoss > best.unitsAfterLoss;
            return isBetter ? candidate : best;
        },
        evaluateCounts(
            pools,
            pools.map(() => 0),
        ),
    );
}

function chooseSingleDomainCounts(pools: readonly CapacityPool[], demand: number): VmCounts {
    let missing = demand;
    return pools.map(pool => {
        const count = Math.max(0, Math.min(pool.limit, Math.ceil(missing / pool.unitsPerVm)));
        missing -= count * pool.unitsPerVm;
        return count;
    });
}

function evaluateCounts(pools: readonly CapacityPool[], counts: VmCounts): CandidatePlan {
    return {
        counts,
        unitsAfterLoss: computeUnitsAfterLoss(sumCapacity(pools, counts)),
        comparisonCost: pools.reduce((sum, pool, index) => sum + pool.comparisonPrice * (counts[index] ?? 0), 0),
    };
}

function sumPoolPrices(pools: readonly CapacityPool[], counts: VmCounts): number {
    return pools.reduce((sum, pool, index) => sum + pool.offer.microsPerHour * (counts[index] ?? 0), 0);
}

function sumGroupPrices(groups: readonly DeclaredGroup[]): number {
    return groups.reduce((sum, group) => sum + group.count * group.microsPerHour, 0);
}

function buildGroups(
    demand: ServiceDemand,
    pools: readonly CapacityPool[],
    counts: VmCounts,
    domainCount: number,
): readonly DeclaredGroup[] {
    const byOffer = new Map<string, { readonly pool: CapacityPool; count: number; held: number }>();
    for (const [index, pool] of pools.entries()) {
        const count = counts[index] ?? 0;
        const offerId = buildOfferId(pool.offer);
        const known = byOffer.get(offerId) ?? { pool, count: 0, held: 0 };
        known.count += count;
        known.held += pool.isHeld ? count : 0;
        byOffer.set(offerId, known);
    }
    return [...byOffer.values()]
        .filter(({ count }) => count > 0)
        .map(({ pool, count, held }) => ({
            ...pool.offer,
            serviceName: demand.serviceName,
            version: demand.version,
            role: demand.role,
            count,
            unitsPerVm: pool.unitsPerVm,
            reason: explainGroup({ offer: pool.offer, unitsPerVm: pool.unitsPerVm, count, held, pools, domainCount }),
        }));
}

function listFindings(
    demand: ServiceDemand,
    pools: readonly CapacityPool[],
    domainCount: number,
    isCovered: boolean,
    microsPerHour: number,
): readonly PlanFinding[] {
    if (demand.unitsPerSecond <= 0) {
        return [];
    }
    if (pools.length === 0) {
        return [PlanFinding.NoOffer];
    }
    const ceiling = Math.min(Infinity, ...demand.targets.map(target => target.costCeilingMicros));
    const findings = [
        { finding: PlanFinding.NoSecondDomain, applies: domainCount === 1 },
        { finding: PlanFinding.NotCovered, applies: domainCount > 1 && !isCovered },
        {
            finding: PlanFinding.SpareOverCeiling,
            applies: computeCostPerThousand(microsPerHour, demand.unitsPerSecond) > ceiling,
        },
    ];
    return findings.filter(({ applies }) => applies).map(({ finding }) => finding);
}
