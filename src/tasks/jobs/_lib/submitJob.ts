/**
 * @module Accepts a job, but only once its request body and its rows are durably stored.
 */
import { err, ok, type Result } from "neverthrow";
import stringify from "json-stable-stringify";
import { createFailure } from "../../../base/createFailure";
import { type Failure, FailureKind } from "../../../base/failure";
import { buildJobAcceptance } from "../../../decisions/outcomes/jobs/buildJobAcceptance";
import { buildJobKey } from "../../../decisions/outcomes/jobs/buildJobKey";
import { buildOpenJobKey } from "../../../decisions/outcomes/jobs/buildOpenJobKey";
import { MAXIMUM_JOB_MS } from "../../../decisions/outcomes/jobs/constants";
import { decodeJobKey } from "../../../decisions/outcomes/jobs/jobRows";
import type { JobCommitEntry, JobRecord, OpenJob } from "../../../decisions/outcomes/jobs/jobRecord";
import { buildJobId } from "../../../decisions/outcomes/jobs/buildJobId";
import type { ChatRequest, RequestContext } from "../../../model/request";
import { hashParts } from "../../claims/_lib/hashParts";
import { waitForStore } from "../../../ports/waitForStore";
import { SUBMISSION_RETRY_AFTER_MS, MAXIMUM_PENDING_SUBMISSIONS } from "../constants";
import { JobState } from "../jobClient";
import { createUniqueId } from "./createUniqueId";
import type { JobBody, JobRun, SharedJobState } from "./sharedJobState";
import { readJobRows } from "./readJobRows";

/** An accepted job. `run` is present if this node holds the job. */
export interface AcceptedJob {
    readonly record: JobRecord;
    readonly run?: JobRun;
}

/** Length of the timestamp at the start of a ULID; the job id contains a timestamp of its own. */
const ULID_TIME_CHARACTERS = 10;

/**
 * Accepts a job. If its idempotency key was used before for the same request, returns the earlier job.
 *
 * @param shared - State of the job task
 * @param context - Account, class, idempotency key and deadline of the request
 * @param chat - The chat request to execute
 * @returns The job, or the reason why it was not accepted
 * @example
 * const accepted = await submitJob(shared, context, chat);
 */
export async function submitJob(
    shared: SharedJobState,
    context: RequestContext,
    chat: ChatRequest,
): Promise<Result<AcceptedJob, Failure>> {
    if (!context.isIdempotent && context.idempotencyKey === undefined) {
        const message = `Class ${context.className} may not be executed twice; it needs an Idempotency-Key.`;
        return err(createFailure(FailureKind.IdempotencyKeyRequired, message));
    }
    if (shared.pendingSubmissions >= MAXIMUM_PENDING_SUBMISSIONS) {
        const message = "Too many jobs are waiting to be stored.";
        return err(createFailure(FailureKind.Overloaded, message, { retryAfterMs: SUBMISSION_RETRY_AFTER_MS }));
    }
    const state = shared;
    state.pendingSubmissions++;
    try {
        return await storeJob(shared, context, chat);
    } finally {
        state.pendingSubmissions--;
    }
}

async function storeJob(
    shared: SharedJobState,
    context: RequestContext,
    chat: ChatRequest,
): Promise<Result<AcceptedJob, Failure>> {
    const body: JobBody = { chat, idempotencyKey: context.idempotencyKey };
    const [written] = await Promise.all([
        shared.bodies.writeBody(Buffer.from(JSON.stringify(body), "utf8")),
        shared.lease.ensureHeld(),
    ]);
    if (written.isErr()) {
        return err(written.error);
    }
    const record = buildRecord(shared, context, chat, written.value);
    const holder = shared.lease.readHolder();
    const keyValue = JSON.stringify({ jobId: record.jobId, bodyHash: hashParts(stringify(chat) ?? "") });
    const entry = buildJobAcceptance(record, holder, keyValue);
    const committed = await shared.options.commits.commitEntry(entry);
    if (committed.isOk()) {
        return ok(buildAcceptedJob(record, entry, committed.value, holder, body));
    }
    return resolveFailedCommit(shared, record, keyValue, committed.error);
}

function buildRecord(
    shared: SharedJobState,
    context: RequestContext,
    chat: ChatRequest,
    body: JobRecord["body"],
): JobRecord {
    const { clock } = shared.options;
    const nowWallMs = clock.readWallMs();
    const leftMs = Math.min(MAXIMUM_JOB_MS, context.deadlineAtMs - clock.readMonotonicMs());
    const { accountName, className, isIdempotent, idempotencyKey } = context;
    return {
        jobId: buildJobId(nowWallMs, createUniqueId(shared.options).slice(ULID_TIME_CHARACTERS)),
        accountName,
        className,
        isIdempotent,
        model: chat.model,
        state: JobState.Queued,
        acceptedAtWallMs: nowWallMs,
        deadlineWallMs: nowWallMs + leftMs,
        body,
        keyRow: idempotencyKey === undefined ? undefined : `jobs/key/${hashParts(accountName, idempotencyKey)}`,
    };
}

function buildAcceptedJob(
    record: JobRecord,
    entry: JobCommitEntry,
    versions: readonly (number | undefined)[],
    holder: string,
    body: JobBody,
): AcceptedJob {
    const [jobVersion, openVersion] = versions;
    if (holder === "" || jobVersion === undefined || openVersion === undefined) {
        return { record };
    }
    const open = JSON.parse(entry.writes[1]?.value ?? "") as OpenJob;
    return {
        record,
        run: {
            job: { record, version: jobVersion },
            open: { record: open, version: openVersion },
            body,
            texts: [],
            chat: undefined,
            isStopped: false,
            isEnding: false,
        },
    };
}

/**
 * Finds out what a failed commit means. After a conflict, the idempotency key is bound to an earlier job. After a lost
 * response, the job's own row shows whether the commit took effect.
 */
async function resolveFailedCommit(
    shared: SharedJobState,
    record: JobRecord,
    keyValue: string,
    failure: Failure,
): Promise<Result<AcceptedJob, Failure>> {
    if (failure.kind === FailureKind.StoreUnavailable) {
        const message = "The job could not be stored; it was not accepted.";
        return err(createFailure(FailureKind.StoreUnavailable, message, { retryAfterMs: SUBMISSION_RETRY_AFTER_MS }));
    }
    const own = await readJobRows(shared.options, record.accountName, record.jobId);
    if (own.isOk()) {
        return ok({ record: own.value.job.record });
    }
    if (record.keyRow !== undefined) {
        const bound = await findJobOfKey(shared, record, record.keyRow, keyValue);
        if (bound !== undefined) {
            return bound;
        }
    }
    return err({
        ...failure,
        kind: FailureKind.StoreOutcomeUnknown,
        message: "The store's response was lost; the job may have been accepted. Look for it in the list of jobs.",
        details: { jobId: record.jobId, rows: [buildJobKey(record), buildOpenJobKey(record.jobId)] },
    });
}

/** Returns the job to which an idempotency key is bound; `undefined` if that could not be read. */
async function findJobOfKey(
    shared: SharedJobState,
    record: JobRecord,
    keyRow: string,
    keyValue: string,
): Promise<Result<AcceptedJob, Failure> | undefined> {
    const row = await waitForStore(shared.options.clock, shared.options.table.readRow(keyRow));
    if (row.isErr() || row.value === undefined) {
        return undefined;
    }
    const bound = decodeJobKey(row.value.value);
    if (bound === undefined) {
        return undefined;
    }
    if (bound.bodyHash !== decodeJobKey(keyValue)?.bodyHash) {
        return err(createFailure(FailureKind.IdempotencyKeyReused, "The key was used for another job."));
    }
    const rows = await readJobRows(shared.options, record.accountName, bound.jobId);
    return rows.map(({ job }) => ({ record: job.record }));
}
