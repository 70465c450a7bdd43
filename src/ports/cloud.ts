/**
 * @module The platform's cloud API and its lagging list of VMs, as this project needs them.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";
import type { VmRecord, VmRole } from "../model/endpoint";

/** A reclaim notice. */
export interface ReclaimNotice {
    readonly vmId: string;
    /** Epoch milliseconds at which the VM goes. */
    readonly reclaimAtWallMs: number;
}

/** The price of a machine class in a failure domain. */
export interface VmPrice {
    readonly region: string;
    readonly failureDomain: string;
    readonly machineClass: string;
    readonly isReclaimable: boolean;
    /** Millionths of the currency per hour. */
    readonly microsPerHour: number;
}

/** What a VM is started for. */
export interface VmStartRequest {
    /** Chosen by the caller; starting twice with the same token starts one VM. */
    readonly token: string;
    readonly region: string;
    readonly failureDomain: string;
    readonly machineClass: string;
    readonly isReclaimable: boolean;
    readonly role: VmRole;
    readonly serviceName: string;
    readonly version: string;
}

/** The lagging list of live and leaving VMs. Failures: `StoreUnavailable`. */
export interface VmListPort {
    /** Lists VMs as the platform knew them some seconds ago. */
    listVms(): Promise<Result<readonly VmRecord[], Failure>>;
}

/** The cloud API. Failures: `PlatformRefused` (a start refused), `StoreUnavailable`, `StoreOutcomeUnknown`. */
export interface CloudPort {
    startVm(order: VmStartRequest): Promise<Result<{ readonly vmId: string }, Failure>>;
    stopVm(vmId: string): Promise<Result<void, Failure>>;
    listPrices(): Promise<Result<readonly VmPrice[], Failure>>;
    /** Reclaim notices in force now; a notice may be missing for a second or two after it was given. */
    listReclaimNotices(): Promise<Result<readonly ReclaimNotice[], Failure>>;
}
