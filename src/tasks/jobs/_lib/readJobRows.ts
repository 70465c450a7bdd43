/**
 * @module Reads the table rows of a job.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../../../base/createFailure";
import { type Failure, FailureKind } from "../../../base/failure";
import { buildJobKey } from "../../../decisions/outcomes/jobs/buildJobKey";
import { buildOpenJobKey } from "../../../decisions/outcomes/jobs/buildOpenJobKey";
import type { JobRecord, OpenJob, Versioned } from "../../../decisions/outcomes/jobs/jobRecord";
import { decodeJob, decodeOpenJob } from "../../../decisions/outcomes/jobs/jobRows";
import { waitForStore } from "../../../ports/waitForStore";
import type { JobTaskOptions } from "./sharedJobState";

/** The rows of a job. `open` is absent once the job has ended. */
export interface JobRows {
    readonly job: Versioned<JobRecord>;
    readonly open?: Versioned<OpenJob>;
}

const JOB_ID = /^[0-9a-f]{12}-[0-9a-z]{1,32}$/;

/**
 * Reads a job's row, and its open row if it has not ended.
 *
 * @param options - Table and clock
 * @param accountName - Account on whose behalf the job is read
 * @param jobId - Id of the job
 * @returns The rows, `NotFound` if the account has no such job, or `StoreUnavailable`
 * @example
 * const rows = await readJobRows(options, "depot", jobId);
 */
export async function readJobRows(
    options: Pick<JobTaskOptions, "table" | "clock">,
    accountName: string,
    jobId: string,
): Promise<Result<JobRows, Failure>> {
    const { table, clock } = options;
    if (!JOB_ID.test(jobId)) {
        return err(createNotFoundFailure());
    }
    const row = await waitForStore(clock, table.readRow(buildJobKey({ accountName, jobId })));
    if (row.isErr()) {
        return err(createReadFailure(row.error));
    }
    const record = row.value === undefined ? undefined : decodeJob(row.value.value);
    if (row.value === undefined || record === undefined) {
        return err(createNotFoundFailure());
    }
    const job = { record, version: row.value.version };
    if (record.endedAtWallMs !== undefined) {
        return ok({ job });
    }
    const openRow = await waitForStore(clock, table.readRow(buildOpenJobKey(jobId)));
    if (openRow.isErr()) {
        return err(createReadFailure(openRow.error));
    }
    const open = openRow.value === undefined ? undefined : decodeOpenJob(openRow.value.value);
    return ok(
        open === undefined ? { job } : { job, open: { record: open, version: openRow.value?.version as number } },
    );
}

function createNotFoundFailure(): Failure {
    return createFailure(FailureKind.NotFound, "The account has no such job.");
}

function createReadFailure(failure: Failure): Failure {
    const message = `The job could not be read: ${failure.message}`;
    return createFailure(FailureKind.StoreUnavailable, message, { retryAfterMs: 1_000 });
}
