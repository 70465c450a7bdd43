/**
 * @module Calls to the cloud that one node at a time makes.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";

/** Who makes a call, and under which fencing number. */
export interface DutyHolder {
    readonly nodeName: string;
    readonly epoch: number;
}

/** Requests that endpoints began to execute in a window, by account. */
export interface UsageReport {
    /** Number of the window, counted from 1970 in true time. */
    readonly window: number;
    readonly counts: Readonly<Record<string, number>>;
}

/** How many endpoints of one kind a service is to have in a failure domain. */
export interface FleetSize {
    readonly service: string;
    readonly failureDomain: string;
    readonly count: number;
    readonly isReclaimable: boolean;
}

/** The cloud. Failures: `PlatformRefused` where it said no, `StoreUnavailable` where its answer is missing. */
export interface DutyPort {
    sendUsage(holder: DutyHolder, report: UsageReport): Promise<Result<void, Failure>>;
    /** Failure `NoEndpoint` where none are to be had there now. */
    setFleetSize(holder: DutyHolder, order: FleetSize): Promise<Result<void, Failure>>;
}
