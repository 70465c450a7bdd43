/**
 * @module Reports errors inside the node to whoever operates it.
 */
import { formatError } from "../../base/formatError";
import type { Log, LogFields } from "../../base/log/log";
import type { GatewayMetrics } from "./createGatewayMetrics";

/** The part of the gateway that has caught an error and goes on. The values appear in log lines and metrics. */
export enum FailureOwner {
    /** A request of a caller; it gets a failure. */
    Request = "request",
    /** An attempt at an endpoint; it ends as if the endpoint had broken it. */
    Attempt = "attempt",
    /** The admission of requests to a service; they go on as without it. */
    Admission = "admission",
    /** A row of a watched table; it is skipped. */
    Row = "row",
    /** An answer of a watched table; it is asked for again. */
    Watch = "watch",
    /** The rows of nodes in the store. */
    Membership = "membership",
    /** A datagram or period of the news between nodes. */
    News = "news",
    /** The election of the node that carries out the duties, or one of them. */
    Duty = "duty",
    /** The records of the usage of quotas. */
    QuotaRecords = "quota records",
    /** The agreement on the cluster time. */
    ClusterTime = "cluster time",
    /** The reading of stored roll-outs, or the record of an attempt at a version. */
    Rollout = "roll-out",
    /** The reading of the settings. */
    Settings = "settings",
    /** A request to the listener of metrics, readiness or rows; it gets a failure. */
    InternalRequest = "internal request",
    /** The dump of the state. */
    Dump = "dump",
}

/** Reports an error that was caught by its owner. Never throws. */
export type FailureReporter = (owner: FailureOwner, error: unknown, fields?: LogFields) => void;

/**
 * Creates the reporter, which counts each error and logs it with its stack.
 *
 * @param log - Gets a line for each error
 * @param metrics - Counts them by owner
 * @returns The reporter
 * @example
 * const reportFailure = createFailureReporter(log, metrics);
 * reportFailure(FailureOwner.Row, error, { table, key });
 */
export function createFailureReporter(log: Log, metrics: Pick<GatewayMetrics, "countFailure">): FailureReporter {
    return (owner, error, fields) => {
        metrics.countFailure(owner);
        log.error("failed inside the node", { ...fields, owner, reason: formatError(error) });
    };
}
