/**
 * @module Removing jobs that are past their retention.
 */
import { ulid } from "ulid";
import { type TaskGenerator, waitFor } from "../../../base/csp";
import { JOB_RETENTION_MS, LONGEST_JOB_MS } from "../../../decisions/outcomes/jobs/constants";
import { BODY_PREFIX, decodeJob, ENDED_PREFIX } from "../../../decisions/outcomes/jobs/jobRows";
import { buildBucketPrefix } from "../../../decisions/outcomes/jobs/buildBucketPrefix";
import type { RowCondition, RowWrite } from "../../../ports/table";
import { waitForStore } from "../../../ports/waitForStore";
import { CLEANED_ROWS } from "../constants";
import { buildCheckpointKey } from "./buildCheckpointKey";
import type { JobShared } from "./jobShared";

/**
 * Removes one page of ended jobs past their retention, and of bodies that no job can need any more. Two nodes that
 * clean at once remove the same things, which does no harm.
 *
 * @param shared - The job task
 * @example
 * yield* removeOldJobs(shared);
 */
export function* removeOldJobs(shared: JobShared): TaskGenerator<void> {
    const { clock, objects, table } = shared.options;
    const keepFromWallMs = clock.readWallMs() - JOB_RETENTION_MS;
    const firstKept = buildBucketPrefix(ENDED_PREFIX, keepFromWallMs);
    const ended = yield* waitFor(waitForStore(clock, table.listRows(ENDED_PREFIX, { limit: CLEANED_ROWS })));
    for (const row of ended.isOk() ? ended.value : []) {
        if (row.key < firstKept) {
            yield* removeJob(shared, row.key, row.version, row.value);
        }
    }
    const firstKeptBody = buildBucketPrefix(BODY_PREFIX, keepFromWallMs - LONGEST_JOB_MS);
    const bodies = yield* waitFor(waitForStore(clock, objects.listObjects(BODY_PREFIX, { limit: CLEANED_ROWS })));
    for (const key of bodies.isOk() ? bodies.value : []) {
        if (key < firstKeptBody) {
            yield* waitFor(waitForStore(clock, objects.deleteObject(key)));
        }
    }
}

function* removeJob(shared: JobShared, endedKey: string, endedVersion: number, jobKey: string): TaskGenerator<void> {
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
