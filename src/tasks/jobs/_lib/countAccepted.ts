/**
 * @module Counting accepted jobs.
 */
import { Metric } from "../../../base/metrics/metric";
import type { JobRecord } from "../../../decisions/outcomes/jobs/jobRecord";
import type { JobShared } from "./jobShared";

/**
 * Counts an accepted job.
 *
 * @param shared - The job task
 * @param record - The job
 * @example
 * countAccepted(shared, accepted.record);
 */
export function countAccepted(shared: JobShared, record: JobRecord): void {
    shared.counts.accepted++;
    shared.options.metrics?.count(Metric.JobsAccepted, { class: record.className });
}
