/**
 * @module The cheapest VMs for one version of a service.
 */
import { computeUnitsAfterLoss, sumCoverage } from "./_lib/coverage";
import { explainGroup } from "./_lib/explainGroup";
import { chooseFirstCounts } from "./_lib/chooseFirstCounts";
import { trimCounts } from "./_lib/trimCounts";
import { computeCostPerThousand, listSegments, type SegmentFacts } from "./_lib/listSegments";
import type { Counts, Segment } from "./_lib/segment";
import { buildOfferId } from "./buildGroupId";
import { type DeclaredGroup, PlanFinding, type ServiceDemand, type ServicePlan } from "./fleetPlan";

interface Choice {
    readonly counts: Counts;
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
export function planService(demand: ServiceDemand, facts: SegmentFacts): ServicePlan {
    const segments = listSegments(demand, facts);
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
function chooseCounts(segments: readonly Segment[], demand: number): Choice {
    const domainCount = new Set(segments.map(segment => segment.offer.failureDomain)).size;
    if (domainCount === 1) {
        return measureChoice(segments, chooseInOneDomain(segments, demand));
    }
    const bounds = Array.from({ length: Math.max(0, domainCount - 1) }, (_unused, index) => demand / (index + 1));
    const choices = bounds.map(bound =>
        measureChoice(segments, trimCounts(segments, chooseFirstCounts(segments, demand, bound), demand)),
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

function chooseInOneDomain(segments: readonly Segment[], demand: number): Counts {
    let missing = demand;
    return segments.map(segment => {
        const count = Math.max(0, Math.min(segment.limit, Math.ceil(missing / segment.units)));
        missing -= count * segment.units;
        return count;
    });
}

function measureChoice(segments: readonly Segment[], counts: Counts): Choice {
    return {
        counts,
        unitsAfterLoss: computeUnitsAfterLoss(sumCoverage(segments, counts)),
        comparedCost: segments.reduce((sum, segment, index) => sum + segment.comparedPrice * (counts[index] ?? 0), 0),
    };
}

function computePrice(segments: readonly Segment[], counts: Counts): number {
    return segments.reduce((sum, segment, index) => sum + segment.offer.microsPerHour * (counts[index] ?? 0), 0);
}

function sumPrice(groups: readonly DeclaredGroup[]): number {
    return groups.reduce((sum, group) => sum + group.count * group.microsPerHour, 0);
}

function buildGroups(
    demand: ServiceDemand,
    segments: readonly Segment[],
    counts: Counts,
    domainCount: number,
): readonly DeclaredGroup[] {
    const byOffer = new Map<string, { readonly segment: Segment; count: number; held: number }>();
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
            unitsPerVm: segment.units,
            reason: explainGroup({ offer: segment.offer, units: segment.units, count, held, segments, domainCount }),
        }));
}

function listFindings(
    demand: ServiceDemand,
    segments: readonly Segment[],
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
