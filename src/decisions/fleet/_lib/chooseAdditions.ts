/**
 * @module Which missing VMs come first: those whose service lacks most.
 */
import { VmRole, type VmRecord } from "../../../model/endpoint";
import { buildOfferId } from "../buildGroupId";
import type { DeclaredGroup } from "../fleetPlan";
import type { FleetState, PendingLoad, PendingStart } from "../fleetState";
import type { GroupStatus, ServiceVm } from "./groupStatus";

/** What bounds the additions of a step. */
export interface AdditionFacts {
    readonly groups: readonly GroupStatus[];
    /** VMs of retired versions that may load another one now. */
    readonly reusableVms: readonly ServiceVm[];
    readonly refusedOfferIds: ReadonlySet<string>;
    readonly weightLoads: number;
    readonly maximumSteps: number;
    readonly nowWallMs: number;
}

/** New orders. */
export interface Additions {
    readonly starts: readonly PendingStart[];
    readonly loads: readonly PendingLoad[];
    readonly generation: number;
}

interface Shortage {
    readonly group: GroupStatus;
    readonly declared: DeclaredGroup;
    readonly offerId: string;
    /** Service and version. */
    readonly name: string;
    missing: number;
}

/**
 * Chooses which VMs to start and which to give another version, one after the other, each for the version of a service
 * that lacks the largest part of its declared units at that moment. A VM of a retired version is used before a start.
 *
 * @param state - The fleet's state
 * @param facts - Groups and bounds
 * @returns The new orders
 * @example
 * chooseAdditions(state, facts).starts;
 */
export function chooseAdditions(state: FleetState, facts: AdditionFacts): Additions {
    const starts: PendingStart[] = [];
    const loads: PendingLoad[] = [];
    const loadable = [...facts.reusableVms];
    const units = sumUnits(facts.groups);
    const shortages = facts.groups.flatMap(group =>
        group.declared === undefined || group.missing === 0 ? [] : [buildShortage(group, group.declared)],
    );
    let weightLoads = countWeightLoads(state);
    let generation = state.generation;
    while (starts.length + loads.length < facts.maximumSteps) {
        const candidates = shortages.filter(({ missing, declared, offerId }) => {
            const hasWeights = declared.role !== VmRole.ModelRunner || weightLoads < facts.weightLoads;
            const canLoad = loadable.length > 0 && findLoadable(loadable, declared) !== -1;
            return missing > 0 && hasWeights && (canLoad || isStartable(state, starts, facts, offerId));
        });
        const neediest = findNeediest(candidates, units);
        if (neediest === undefined) {
            break;
        }
        const { declared } = neediest;
        const [vm] = loadable.splice(findLoadable(loadable, declared), findLoadable(loadable, declared) === -1 ? 0 : 1);
        generation++;
        if (vm === undefined) {
            starts.push(buildStart(neediest, starts, generation, facts.nowWallMs));
        } else {
            loads.push(buildLoad(vm, declared, generation, facts.nowWallMs));
        }
        neediest.missing--;
        weightLoads += declared.role === VmRole.ModelRunner ? 1 : 0;
        const sum = units.get(neediest.name);
        if (sum !== undefined) {
            sum.lacking -= declared.unitsPerVm;
        }
    }
    return { starts, loads, generation };
}

/**
 * Counts the orders under way that read weights from the store.
 *
 * @param state - The fleet's state
 * @returns Starts of model runners and orders to load
 * @example
 * countWeightLoads(state) < limits.weightLoads;
 */
export function countWeightLoads(state: FleetState): number {
    return state.loads.length + state.starts.filter(start => start.role === VmRole.ModelRunner).length;
}

/** After a refusal a single start asks whether the offer takes starts again, before there are more. */
function isStartable(
    state: FleetState,
    chosen: readonly PendingStart[],
    facts: AdditionFacts,
    offerId: string,
): boolean {
    if (facts.refusedOfferIds.has(offerId)) {
        return false;
    }
    const isOnTheWay = (start: PendingStart) => buildOfferId(start) === offerId;
    return state.refusals[offerId] === undefined || !(chosen.some(isOnTheWay) || state.starts.some(isOnTheWay));
}

function buildShortage(group: GroupStatus, declared: DeclaredGroup): Shortage {
    const { missing } = group;
    return { group, declared, offerId: buildOfferId(declared), name: buildName(declared), missing };
}

function sumUnits(groups: readonly GroupStatus[]): Map<string, { all: number; lacking: number }> {
    const units = new Map<string, { all: number; lacking: number }>();
    for (const { declared, missing } of groups) {
        if (declared !== undefined) {
            const sum = units.get(buildName(declared)) ?? { all: 0, lacking: 0 };
            sum.all += declared.count * declared.unitsPerVm;
            sum.lacking += missing * declared.unitsPerVm;
            units.set(buildName(declared), sum);
        }
    }
    return units;
}

function findNeediest(
    candidates: readonly Shortage[],
    units: ReadonlyMap<string, { readonly all: number; readonly lacking: number }>,
): Shortage | undefined {
    const computeNeed = ({ name }: Shortage) => {
        const sum = units.get(name);
        return sum === undefined ? 0 : sum.lacking / sum.all;
    };
    return candidates.reduce<Shortage | undefined>(
        (best, candidate) => (best === undefined || computeNeed(candidate) > computeNeed(best) ? candidate : best),
        undefined,
    );
}

function findLoadable(loadable: readonly ServiceVm[], declared: DeclaredGroup): number {
    return loadable.findIndex(
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

function buildName({ serviceName, version }: DeclaredGroup): string {
    return `${serviceName}/${version}`;
}
