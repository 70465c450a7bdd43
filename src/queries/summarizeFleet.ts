/**
 * @module The VMs behind each service, counted.
 */
import { type VmRecord, VmState } from "../model/endpoint";

/** VMs that are alike. */
export interface FleetGroup {
    /** The service, or the VM's role where it belongs to none. */
    readonly serviceName: string;
    readonly version: string;
    readonly failureDomain: string;
    readonly machineClass: string;
    readonly isReclaimable: boolean;
    readonly live: number;
    readonly leaving: number;
}

/**
 * Counts VMs by service, version, failure domain, machine class and whether they can be reclaimed.
 *
 * @param vms - All VMs known
 * @returns One entry a group, sorted
 * @example
 * summarizeFleet(directory.listVms());
 */
export function summarizeFleet(vms: readonly VmRecord[]): readonly FleetGroup[] {
    const groups = new Map<string, FleetGroup>();
    for (const vm of vms) {
        const facts = buildFacts(vm);
        const id = JSON.stringify(facts);
        const group = groups.get(id) ?? { ...facts, live: 0, leaving: 0 };
        groups.set(id, addVm(group, vm));
    }
    return [...groups.keys()].sort().flatMap(id => groups.get(id) ?? []);
}

function buildFacts(vm: VmRecord): Omit<FleetGroup, "live" | "leaving"> {
    return {
        serviceName: vm.serviceName ?? vm.role,
        version: vm.version ?? "",
        failureDomain: vm.failureDomain,
        machineClass: vm.machineClass,
        isReclaimable: vm.isReclaimable,
    };
}

function addVm(group: FleetGroup, vm: VmRecord): FleetGroup {
    return vm.state === VmState.Live ? { ...group, live: group.live + 1 } : { ...group, leaving: group.leaving + 1 };
}
