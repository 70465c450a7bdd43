/**
 * @module Counter of accepted jobs.
 */
import { Metric } from "../../../base/metrics/metric";
import type { JobRecord } from "../../../decisions/outcomes/jobs/jobRecord";
import type { SharedJobState } from "./sharedJobState";

/**
 * Counts an accepted job in the task's state and in the metrics.
 *
 * @param shared - State of the job task
 * @param record - Record of the job
 * @example
 * countAcceptedJob(shared, accepted.record);
 */
export function countAcceptedJob(shared: SharedJobState, record: JobRecord): void {
    shared.counts.accepted++;
    shared.options.metrics?.count(Metric.JobsAccepted, { class: record.className });
}
