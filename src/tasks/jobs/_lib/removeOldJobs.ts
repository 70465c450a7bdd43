/**
 * @module Removes jobs that are past their retention.
 */
import { ulid } from "ulid";
import { type Step, waitFor } from "../../../base/csp";
import { JOB_RETENTION_MS, MAXIMUM_JOB_MS } from "../../../decisions/outcomes/jobs/constants";
import { JOB_BODY_PREFIX, decodeJob, ENDED_JOB_PREFIX } from "../../../decisions/outcomes/jobs/jobRows";
import { buildBucketPrefix } from "../../../decisions/outcomes/jobs/buildBucketPrefix";
import type { RowCondition, RowWrite } from "../../../ports/table";
import { waitForStore } from "../../../ports/waitForStore";
import { CLEANUP_PAGE_SIZE } from "../constants";
import { buildCheckpointKey } from "./buildCheckpointKey";
import type { SharedJobState } from "./sharedJobState";

/**
 * Removes one page of ended jobs past their retention and one page of request bodies that no job can still need. It is
 * safe for two nodes to do this at the same time: they remove the same rows and objects.
 *
 * @param shared - State of the job task
 * @example
 * yield* removeOldJobs(shared);
 */
export function* removeOldJobs(shared: SharedJobState): Step<void> {
    const { clock, objects, table } = shared.options;
    const keepFromWallMs = clock.readWallMs() - JOB_RETENTION_MS;
    const firstKept = buildBucketPrefix(ENDED_JOB_PREFIX, keepFromWallMs);
    const ended = yield* waitFor(waitForStore(clock, table.listRows(ENDED_JOB_PREFIX, { limit: CLEANUP_PAGE_SIZE })));
    for (const row of ended.isOk() ? ended.value : []) {
        if (row.key < firstKept) {
            yield* removeJob(shared, row.key, row.version, row.value);
        }
    }
    const firstKeptBody = buildBucketPrefix(JOB_BODY_PREFIX, keepFromWallMs - MAXIMUM_JOB_MS);
    const bodies = yield* waitFor(
        waitForStore(clock, objects.listObjects(JOB_BODY_PREFIX, { limit: CLEANUP_PAGE_SIZE })),
    );
    for (const key of bodies.isOk() ? bodies.value : []) {
        if (key < firstKeptBody) {
            yield* waitFor(waitForStore(clock, objects.deleteObject(key)));
        }
    }
}

/**
 * Removes the objects of a job, then its rows. `endedKey` is the row that lists the job by the time of its end; its
 * value is `jobKey`.
 */
function* removeJob(shared: SharedJobState, endedKey: string, endedVersion: number, jobKey: string): Step<void> {
    const { clock, objects, table } = shared.options;
    const row = yield* waitFor(waitForStore(clock, table.readRow(jobKey)));
    if (row.isErr()) {
        return;
    }
    const record = row.value === undefined ? undefined : decodeJob(row.value.value);
    const jobId = jobKey.slice(jobKey.lastIndexOf("/") + 1);
    const objectKeys = [
        buildCheckpointKey(jobId),
        ...(record?.answerObject === undefined ? [] : [record.answerObject]),
    ];
    for (const objectKey of objectKeys) {
        yield* waitFor(waitForStore(clock, objects.deleteObject(objectKey)));
    }
    const conditions: RowCondition[] = [{ key: endedKey, version: endedVersion }];
    const removed = [endedKey, jobKey, ...(record?.keyRow === undefined ? [] : [record.keyRow])];
    const writes: RowWrite[] = removed.map(key => ({ key, value: undefined }));
    const committed = yield* waitFor(
        waitForStore(clock, table.commitTransaction({ token: ulid(), conditions, writes })),
    );
    shared.counts.cleaned += committed.isOk() ? 1 : 0;
}
