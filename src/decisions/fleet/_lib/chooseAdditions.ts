/**
 * @module Chooses which missing VMs to order first: those of the service version with the largest shortage.
 */
import { VmRole, type VmRecord } from "../../../model/endpoint";
import { buildOfferId } from "../buildGroupId";
import type { DeclaredGroup } from "../fleetPlan";
import type { FleetState, PendingLoad, PendingStart } from "../fleetState";
import type { GroupStatus, ServiceVm } from "./groupStatus";

/** Inputs and limits of the additions. */
export interface AdditionFacts {
    readonly groups: readonly GroupStatus[];
    /** VMs of retired versions that may load another version now. */
    readonly reusableVms: readonly ServiceVm[];
    readonly refusedOfferIds: ReadonlySet<string>;
    /** Maximum number of concurrent orders that read weights from the store. */
    readonly weightLoads: number;
    /** Maximum number of new orders. */
    readonly maximumSteps: number;
    readonly nowWallMs: number;
}

/** The new orders, and the number of the latest one. */
export interface Additions {
    readonly starts: readonly PendingStart[];
    readonly loads: readonly PendingLoad[];
    readonly generation: number;
}

/** A group with missing VMs. */
interface Shortage {
    readonly group: GroupStatus;
    readonly declared: DeclaredGroup;
    readonly offerId: string;
    /** `SERVICE/VERSION`. */
    readonly name: string;
    missing: number;
}

/**
 * Chooses VMs to start, and VMs that load another version, one at a time. Each goes to the service version that misses
 * the largest share of its declared units at that point. A VM of a retired version is preferred over a start.
 *
 * @param state - The fleet's state
 * @param facts - Groups and limits
 * @returns The new orders
 * @example
 * chooseAdditions(state, facts).starts;
 */
export function chooseAdditions(state: FleetState, facts: AdditionFacts): Additions {
    const starts: PendingStart[] = [];
    const loads: PendingLoad[] = [];
    const reusableVms = [...facts.reusableVms];
    const unitsByName = sumUnitsByName(facts.groups);
    const shortages = facts.groups.flatMap(group =>
        group.declared === undefined || group.missing === 0 ? [] : [buildShortage(group, group.declared)],
    );
    let weightLoads = countWeightLoads(state);
    let generation = state.generation;
    while (starts.length + loads.length < facts.maximumSteps) {
        const candidates = shortages.filter(({ missing, declared, offerId }) => {
            const isWithinLoadLimit = declared.role !== VmRole.ModelRunner || weightLoads < facts.weightLoads;
            const canLoad = reusableVms.length > 0 && findReusableIndex(reusableVms, declared) !== -1;
            return missing > 0 && isWithinLoadLimit && (canLoad || isStartable(state, starts, facts, offerId));
        });
        const largest = findLargestShortage(candidates, unitsByName);
        if (largest === undefined) {
            break;
        }
        const { declared } = largest;
        const [vm] = reusableVms.splice(
            findReusableIndex(reusableVms, declared),
            findReusableIndex(reusableVms, declared) === -1 ? 0 : 1,
        );
        generation++;
        if (vm === undefined) {
            starts.push(buildStart(largest, starts, generation, facts.nowWallMs));
        } else {
            loads.push(buildLoad(vm, declared, generation, facts.nowWallMs));
        }
        largest.missing--;
        weightLoads += declared.role === VmRole.ModelRunner ? 1 : 0;
        const sum = unitsByName.get(largest.name);
        if (sum !== undefined) {
            sum.lacking -= declared.unitsPerVm;
        }
    }
    return { starts, loads, generation };
}

/**
 * Counts the pending orders that read weights from the store.
 *
 * @param state - The fleet's state
 * @returns Number of model runner starts and loads
 * @example
 * countWeightLoads(state) < limits.weightLoads;
 */
export function countWeightLoads(state: FleetState): number {
    return state.loads.length + state.starts.filter(start => start.role === VmRole.ModelRunner).length;
}

/** Tells whether a VM of an offer may be started. After a refusal only one start at a time probes the offer. */
function isStartable(
    state: FleetState,
    chosen: readonly PendingStart[],
    facts: AdditionFacts,
    offerId: string,
): boolean {
    if (facts.refusedOfferIds.has(offerId)) {
        return false;
    }
    const isOfOffer = (start: PendingStart) => buildOfferId(start) === offerId;
    return state.refusals[offerId] === undefined || !(chosen.some(isOfOffer) || state.starts.some(isOfOffer));
}

function buildShortage(group: GroupStatus, declared: DeclaredGroup): Shortage {
    const { missing } = group;
    return { group, declared, offerId: buildOfferId(declared), name: buildVersionName(declared), missing };
}

function sumUnitsByName(groups: readonly GroupStatus[]): Map<string, { all: number; lacking: number }> {
    const unitsByName = new Map<string, { all: number; lacking: number }>();
    for (const { declared, missing } of groups) {
        if (declared !== undefined) {
            const sum = unitsByName.get(buildVersionName(declared)) ?? { all: 0, lacking: 0 };
            sum.all += declared.count * declared.unitsPerVm;
            sum.lacking += missing * declared.unitsPerVm;
            unitsByName.set(buildVersionName(declared), sum);
        }
    }
    return unitsByName;
}

function findLargestShortage(
    candidates: readonly Shortage[],
    unitsByName: ReadonlyMap<string, { readonly all: number; readonly lacking: number }>,
): Shortage | undefined {
    const getShortage = ({ name }: Shortage) => {
        const sum = unitsByName.get(name);
        return sum === undefined ? 0 : sum.lacking / sum.all;
    };
    return candidates.reduce<Shortage | undefined>(
        (best, candidate) => (best === undefined || getShortage(candidate) > getShortage(best) ? candidate : best),
        undefined,
    );
}

function findReusableIndex(reusableVms: readonly ServiceVm[], declared: DeclaredGroup): number {
    return reusableVms.findIndex(
        vm =>
            vm.role === declared.role &&
            vm.serviceName === declared.serviceName &&
            buildOfferId(vm) === buildOfferId(declared),
    );
}

function buildStart(
    { group, declared }: Shortage,
    chosen: readonly PendingStart[],
    generation: number,
    nowWallMs: number,
): PendingStart {
    const { serviceName, version, region, failureDomain, machineClass, isReclaimable, role } = declared;
    const key = { serviceName, version, region, failureDomain, machineClass, isReclaimable, role };
    const prefix = `fleet/${group.id}/`;
    const used = new Set(
        [...group.starts, ...chosen.filter(start => start.token.startsWith(prefix))].map(start => start.slot),
    );
    let slot = group.vms.length + group.loading;
    while (used.has(slot)) {
        slot++;
    }
    const token = `${prefix}${slot}/${generation}`;
    return { ...key, token, slot, orderedAtWallMs: nowWallMs, sentAtWallMs: nowWallMs };
}

function buildLoad(vm: VmRecord, declared: DeclaredGroup, generation: number, nowWallMs: number): PendingLoad {
    return {
        vmId: vm.vmId,
        incarnation: vm.incarnation,
        serviceName: declared.serviceName,
        version: declared.version,
        token: `fleet/load/${vm.vmId}/${declared.version}/${generation}`,
        orderedAtWallMs: nowWallMs,
        sentAtWallMs: nowWallMs,
    };
}

function buildVersionName({ serviceName, version }: DeclaredGroup): string {
    return `${serviceName}/${version}`;
}
