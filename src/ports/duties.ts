/**
 * @module Port for duties, which are calls to the cloud that only one node at a time may make.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";

/** The node that makes a call, and its fencing token. */
export interface DutyHolder {
    readonly nodeName: string;
    /** Fencing token: the epoch of the lease under which the call is made. */
    readonly epoch: number;
}

/** The usage of accounts in one window. */
export interface UsageReport {
    /** Number of the window, counted from the Unix epoch in the time that all nodes agree on. */
    readonly window: number;
    /** Number of requests that endpoints began to execute, by account. */
    readonly counts: Readonly<Record<string, number>>;
}

/** The desired number of on-demand or reclaimable endpoints of a service in a failure domain. */
export interface FleetSize {
    readonly service: string;
    readonly failureDomain: string;
    readonly count: number;
    readonly isReclaimable: boolean;
}

/** The cloud API for duties. Failures: `PlatformRefused` (refused), `StoreUnavailable` (no response). */
export interface DutyPort {
    /** Sends a usage report. */
    sendUsage(holder: DutyHolder, report: UsageReport): Promise<Result<void, Failure>>;
    /** Sets the desired size of a fleet. Failure: also `NoEndpoint` if the cloud has no capacity there now. */
    setFleetSize(holder: DutyHolder, size: FleetSize): Promise<Result<void, Failure>>;
}
