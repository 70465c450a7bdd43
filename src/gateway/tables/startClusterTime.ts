/**
 * @module Starts the agreement of the nodes on the offset of the cluster time.
 */
import type { Clock } from "../../base/clock";
import { waitFor } from "../../base/csp/index";
import type { Log } from "../../base/log/log";
import type { TablePort } from "../../ports/table";
import type { ClusterTime } from "./createClusterTime";
import { FailureOwner, type FailureReporter } from "../process/createFailureReporter";
import { resolveClusterTime } from "./resolveClusterTime";
import { startLoop } from "../process/startLoop";

/** Dependencies of the agreement. */
export interface ClusterTimeOptions {
    readonly table: TablePort;
    readonly clusterTime: ClusterTime;
    readonly clock: Clock;
    readonly log: Log;
    readonly reportFailure: FailureReporter;
}

/**
 * Starts the agreement, which is tried until it succeeds.
 *
 * @param options - Dependencies
 * @example
 * startClusterTime({ table, clusterTime, clock, log, reportFailure });
 */
export function startClusterTime({ table, clusterTime, clock, log, reportFailure }: ClusterTimeOptions): void {
    const resolve = function* () {
        yield* waitFor(resolveClusterTime(table, clusterTime, clock.waitMs, log));
    };
    startLoop(FailureOwner.ClusterTime, resolve, { clock, reportFailure });
}
