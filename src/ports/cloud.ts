/**
 * @module Ports to the platform's cloud API and to its list of VMs.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";
import type { VmRecord, VmRole } from "../model/endpoint";

/** A notice that the platform will reclaim a VM. */
export interface ReclaimNotice {
    readonly vmId: string;
    /** Epoch milliseconds at which the VM will be reclaimed. */
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

/** Which VM to start, and for which role and service. */
export interface VmStartRequest {
    /** Idempotency token, chosen by the caller: two starts with the same token start one VM. */
    readonly token: string;
    readonly region: string;
    readonly failureDomain: string;
    readonly machineClass: string;
    readonly isReclaimable: boolean;
    readonly role: VmRole;
    readonly serviceName: string;
    readonly version: string;
}

/** The list of live and leaving VMs. Failures: `StoreUnavailable`. */
export interface VmListPort {
    /** Lists the VMs; the list may be outdated by some seconds. */
    listVms(): Promise<Result<readonly VmRecord[], Failure>>;
}

/** The cloud API. Failures: `PlatformRefused` (a start was refused), `StoreUnavailable`, `StoreOutcomeUnknown`. */
export interface CloudPort {
    /** Starts a VM. */
    startVm(order: VmStartRequest): Promise<Result<{ readonly vmId: string }, Failure>>;
    /** Stops a VM. */
    stopVm(vmId: string): Promise<Result<void, Failure>>;
    /** Lists the current prices of all machine classes. */
    listPrices(): Promise<Result<readonly VmPrice[], Failure>>;
    /** Lists the reclaim notices in force; a new notice may be missing for up to two seconds. */
    listReclaimNotices(): Promise<Result<readonly ReclaimNotice[], Failure>>;
}
