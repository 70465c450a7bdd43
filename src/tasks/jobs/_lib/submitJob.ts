/**
 * @module Accepting a job: it is accepted once its body and its rows are durable, and not before.
 */
import { err, ok, type Result } from "neverthrow";
import stringify from "json-stable-stringify";
import { createFailure } from "../../../base/createFailure";
import { type Failure, FailureKind } from "../../../base/failure";
import { buildJobAcceptance } from "../../../decisions/outcomes/jobs/buildJobAcceptance";
import { buildJobKey } from "../../../decisions/outcomes/jobs/buildJobKey";
import { buildOpenJobKey } from "../../../decisions/outcomes/jobs/buildOpenJobKey";
import { MAXIMUM_JOB_MS } from "../../../decisions/outcomes/jobs/constants";
import type { JobCommitEntry, JobRecord, OpenJob } from "../../../decisions/outcomes/jobs/jobRecord";
import { buildJobId } from "../../../decisions/outcomes/jobs/buildJobId";
import type { ChatRequest, RequestContext } from "../../../model/request";
import { hashClaim } from "../../claims/_lib/hashClaim";
import { waitForStore } from "../../../ports/waitForStore";
import { ACCEPTANCE_RETRY_MS, WAITING_ACCEPTANCES } from "../constants";
import { JobState } from "../jobClient";
import { createUniqueId } from "./createUniqueId";
import type { JobBody, JobRun, JobShared } from "./jobShared";
import { readJobRows } from "./readJobRows";

/** An accepted job; `run` is present if this node holds it. */
export interface AcceptedJob {
    readonly record: JobRecord;
    readonly run?: JobRun;
}

const ULID_TIME_CHARACTERS = 10;

/**
 * Accepts a job. With an idempotency key that was used before, the earlier job is given.
 *
 * @param shared - The job task
 * @param context - Who asks, and by when
 * @param chat - What is asked
 * @returns The job, or why it is not accepted
 * @example
 * const accepted = await submitJob(shared, context, chat);
 */
export async function submitJob(
    shared: JobShared,
    context: RequestContext,
    chat: ChatRequest,
): Promise<Result<AcceptedJob, Failure>> {
    if (!context.isIdempotent && context.idempotencyKey === undefined) {
        const message = `Class ${context.className} may not be executed twice; it needs an Idempotency-Key.`;
        return err(createFailure(FailureKind.IdempotencyKeyRequired, message));
    }
    if (shared.waitingAcceptances >= WAITING_ACCEPTANCES) {
        const message = "Too many jobs wait to be stored.";
        return err(createFailure(FailureKind.Overloaded, message, { retryAfterMs: ACCEPTANCE_RETRY_MS }));
    }
    const state = shared;
    state.waitingAcceptances++;
    const accepted = await storeJob(shared, context, chat);
    state.waitingAcceptances--;
    return accepted;
}

async function storeJob(
    shared: JobShared,
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
    const keyValue = JSON.stringify({ jobId: record.jobId, bodyHash: hashClaim(stringify(chat) ?? "") });
    const entry = buildJobAcceptance(record, holder, keyValue);
    const committed = await shared.options.commits.commitEntry(entry);
    if (committed.isOk()) {
        return ok(buildAccepted(record, entry, committed.value, holder, body));
    }
    return explainRefusal(shared, record, keyValue, committed.error);
}

function buildRecord(
    shared: JobShared,
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
        keyRow: idempotencyKey === undefined ? undefined : `jobs/key/${hashClaim(accountName, idempotencyKey)}`,
    };
}

function buildAccepted(
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

/** A conflict means that the key is bound already; a lost answer is read back before anything is said. */
async function explainRefusal(
    shared: JobShared,
    record: JobRecord,
    keyValue: string,
    failure: Failure,
): Promise<Result<AcceptedJob, Failure>> {
    if (failure.kind === FailureKind.StoreUnavailable) {
        const message = "The job could not be stored; it was not accepted.";
        return err(createFailure(FailureKind.StoreUnavailable, message, { retryAfterMs: ACCEPTANCE_RETRY_MS }));
    }
    const own = await readJobRows(shared.options, record.accountName, record.jobId);
    if (own.isOk()) {
        return ok({ record: own.value.job.record });
    }
    if (record.keyRow !== undefined) {
        const bound = await findBoundJob(shared, record, record.keyRow, keyValue);
        if (bound !== undefined) {
            return bound;
        }
    }
    return err({
        ...failure,
        kind: FailureKind.StoreOutcomeUnknown,
        message: "The store's answer was lost; the job may have been accepted. Look for it in the list of jobs.",
        details: { jobId: record.jobId, rows: [buildJobKey(record), buildOpenJobKey(record.jobId)] },
    });
}

async function findBoundJob(
    shared: JobShared,
    record: JobRecord,
    keyRow: string,
    keyValue: string,
): Promise<Result<AcceptedJob, Failure> | undefined> {
    const row = await waitForStore(shared.options.clock, shared.options.table.readRow(keyRow));
    if (row.isErr() || row.value === undefined) {
        return undefined;
    }
    const bound = JSON.parse(row.value.value) as { readonly jobId: string; readonly bodyHash: string };
    const asked = JSON.parse(keyValue) as { readonly bodyHash: string };
    if (bound.bodyHash !== asked.bodyHash) {
        return err(createFailure(FailureKind.IdempotencyKeyReused, "The key was used for another job."));
    }
    const rows = await readJobRows(shared.options, record.accountName, bound.jobId);
    return rows.map(({ job }) => ({ record: job.record }));
}
