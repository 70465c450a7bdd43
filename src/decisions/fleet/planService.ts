/**
 * @module The cheapest VMs for one version of a service.
 */
import { computeUnitsAfterLoss, sumCapacity } from "./_lib/capacityTotals";
import { explainGroup } from "./_lib/explainGroup";
import { chooseInitialCounts } from "./_lib/chooseInitialCounts";
import { optimizeCounts } from "./_lib/optimizeCounts";
import { computeCostPerThousand, listCapacityPools, type CapacityPoolFacts } from "./_lib/listCapacityPools";
import type { VmCounts, CapacityPool } from "./_lib/capacityPool";
import { buildOfferId } from "./buildGroupId";
import { type DeclaredGroup, PlanFinding, type ServiceDemand, type ServicePlan } from "./fleetPlan";

interface Choice {
    readonly counts: VmCounts;
    readonly unitsAfterLoss: number;
    readonly comparedCost: number;
}

/**
 * Plans the VMs of one version of a service. Without a second usable domain the demand is carried by one, and the plan
 * says so.
 *
 * @param demand - The service, version, demand and targets
 * @param facts - Offers, capacities, present VMs and refusals
 * @returns The declared groups, their cost and what falls short
 * @example
 * planService(demand, { offers, capacities, held: [], refusedOfferIds: new Set() });
 */
export function planService(demand: ServiceDemand, facts: CapacityPoolFacts): ServicePlan {
    const segments = listCapacityPools(demand, facts);
    const domainCount = new Set(segments.map(segment => segment.offer.failureDomain)).size;
    const choice = chooseCounts(segments, demand.unitsPerSecond);
    const onDemandSegments = segments.filter(segment => !segment.offer.isReclaimable);
    const onDemand = chooseCounts(onDemandSegments, demand.unitsPerSecond);
    const covers = (candidate: Choice) => candidate.unitsAfterLoss >= demand.unitsPerSecond * (1 - 1e-9);
    const isOnDemandBetter = covers(onDemand) && (!covers(choice) || onDemand.comparedCost < choice.comparedCost);
    const [used, chosen] = isOnDemandBetter ? [onDemandSegments, onDemand] : [segments, choice];
    const groups = buildGroups(demand, used, chosen.counts, domainCount);
    const microsPerHour = sumPrice(groups);
    const baseline = covers(onDemand) ? computePrice(onDemandSegments, onDemand.counts) : undefined;
    return {
        serviceName: demand.serviceName,
        version: demand.version,
        unitsPerSecond: demand.unitsPerSecond,
        demandReason: demand.demandReason,
        microsPerHour,
        onDemandMicrosPerHour: baseline,
        unitsAfterLoss: chosen.unitsAfterLoss,
        findings: listFindings(demand, segments, domainCount, covers(chosen), microsPerHour),
        groups,
    };
}

/** Tries every number of domains to spread over: more domains need less spare, fewer leave out dear ones. */
function chooseCounts(segments: readonly CapacityPool[], demand: number): Choice {
    const domainCount = new Set(segments.map(segment => segment.offer.failureDomain)).size;
    if (domainCount === 1) {
        return measureChoice(segments, chooseInOneDomain(segments, demand));
    }
    const bounds = Array.from({ length: Math.max(0, domainCount - 1) }, (_unused, index) => demand / (index + 1));
    const choices = bounds.map(bound =>
        measureChoice(segments, optimizeCounts(segments, chooseInitialCounts(segments, demand, bound), demand)),
    );
    const needed = demand * (1 - 1e-9);
    return choices.reduce(
        (best, candidate) => {
            const isCovered = candidate.unitsAfterLoss >= needed;
            const isBestCovered = best.unitsAfterLoss >= needed;
            if (isCovered !== isBestCovered) {
                return isCovered ? candidate : best;
            }
            const isBetter = isCovered
                ? candidate.comparedCost < best.comparedCost
                : candidate.unitsAfterLoss > best.unitsAfterLoss;
            return isBetter ? candidate : best;
        },
        measureChoice(
            segments,
            segments.map(() => 0),
        ),
    );
}

function chooseInOneDomain(segments: readonly CapacityPool[], demand: number): VmCounts {
    let missing = demand;
    return segments.map(segment => {
        const count = Math.max(0, Math.min(segment.limit, Math.ceil(missing / segment.unitsPerVm)));
        missing -= count * segment.unitsPerVm;
        return count;
    });
}

function measureChoice(segments: readonly CapacityPool[], counts: VmCounts): Choice {
    return {
        counts,
        unitsAfterLoss: computeUnitsAfterLoss(sumCapacity(segments, counts)),
        comparedCost: segments.reduce((sum, segment, index) => sum + segment.comparisonPrice * (counts[index] ?? 0), 0),
    };
}

function computePrice(segments: readonly CapacityPool[], counts: VmCounts): number {
    return segments.reduce((sum, segment, index) => sum + segment.offer.microsPerHour * (counts[index] ?? 0), 0);
}

function sumPrice(groups: readonly DeclaredGroup[]): number {
    return groups.reduce((sum, group) => sum + group.count * group.microsPerHour, 0);
}

function buildGroups(
    demand: ServiceDemand,
    segments: readonly CapacityPool[],
    counts: VmCounts,
    domainCount: number,
): readonly DeclaredGroup[] {
    const byOffer = new Map<string, { readonly segment: CapacityPool; count: number; held: number }>();
    for (const [index, segment] of segments.entries()) {
        const count = counts[index] ?? 0;
        const offerId = buildOfferId(segment.offer);
        const known = byOffer.get(offerId) ?? { segment, count: 0, held: 0 };
        known.count += count;
        known.held += segment.isHeld ? count : 0;
        byOffer.set(offerId, known);
    }
    return [...byOffer.values()]
        .filter(({ count }) => count > 0)
        .map(({ segment, count, held }) => ({
            ...segment.offer,
            serviceName: demand.serviceName,
            version: demand.version,
            role: demand.role,
            count,
            unitsPerVm: segment.unitsPerVm,
            reason: explainGroup({
                offer: segment.offer,
                unitsPerVm: segment.unitsPerVm,
                count,
                held,
                pools: segments,
                domainCount,
            }),
        }));
}

function listFindings(
    demand: ServiceDemand,
    segments: readonly CapacityPool[],
    domainCount: number,
    isCovered: boolean,
    microsPerHour: number,
): readonly PlanFinding[] {
    if (demand.unitsPerSecond <= 0) {
        return [];
    }
    if (segments.length === 0) {
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
