/**
 * @module A first choice of VMs: the cheapest per unit, no domain above a bound.
 */
import type { VmCounts, CapacityPool } from "./capacityPool";

/**
 * Chooses for each domain the cheapest segments until all but the fullest domain carry the demand.
 *
 * @param segments - What can be used, cheapest per unit first
 * @param demand - Units a second to carry after the loss of any one domain
 * @param domainUnits - Units a second that a domain is meant to carry at most; one VM may pass it
 * @returns Counts that may fall short of the demand
 * @example
 * chooseFirstCounts(segments, 900, 450);
 */
export function chooseInitialCounts(segments: readonly CapacityPool[], demand: number, domainUnits: number): VmCounts {
    const counts: VmCounts = segments.map(() => 0);
    const carried = new Map<string, number>();
    let total = 0;
    let fullest = 0;
    for (const [index, segment] of segments.entries()) {
        const missing = demand - (total - fullest);
        if (missing <= 0) {
            break;
        }
        const domain = segment.offer.failureDomain;
        const before = carried.get(domain) ?? 0;
        const wanted = Math.min(domainUnits - before, demand + domainUnits - total);
        const count = Math.max(0, Math.min(segment.limit, Math.ceil(wanted / segment.unitsPerVm)));
        counts[index] = count;
        carried.set(domain, before + count * segment.unitsPerVm);
        total += count * segment.unitsPerVm;
        fullest = Math.max(fullest, before + count * segment.unitsPerVm);
    }
    return counts;
}
