/**
 * @module Durable jobs: accepted once stored, worked on by one node at a time, kept for days.
 */
import { err, ok, type Result } from "neverthrow";
import { superviseTask, type TaskGenerator, startTask, waitFor } from "../../base/csp";
import { createFailure } from "../../base/createFailure";
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import { type Failure, FailureKind } from "../../base/failure";
import { buildEnding } from "../../decisions/outcomes/jobs/buildEnding";
import { buildHandover } from "../../decisions/outcomes/jobs/buildHandover";
import { DEADLINE_MARGIN_MS } from "../../decisions/outcomes/jobs/constants";
import type { JobAnswer, JobRecord } from "../../decisions/outcomes/jobs/jobRecord";
import { decodeJob } from "../../decisions/outcomes/jobs/jobRows";
import { buildAccountPrefix } from "../../decisions/outcomes/jobs/buildAccountPrefix";
import { waitForStore } from "../../ports/waitForStore";
import { writeCheckpoint } from "./_lib/writeCheckpoint";
import { removeOldJobs } from "./_lib/removeOldJobs";
import { createBodyWriter } from "./_lib/createBodyWriter";
import { createNodeLease } from "./_lib/createNodeLease";
import type { JobRun, JobShared, JobTaskOptions } from "./_lib/jobShared";
import { expireJob, pollJobs } from "./_lib/pollJobs";
import { type JobRows, readJobRows } from "./_lib/readJobRows";
import { startRun } from "./_lib/startRun";
import { stopRun } from "./_lib/stopRun";
import { submitJob } from "./_lib/submitJob";
import { countAccepted } from "./_lib/countAccepted";
import { CLEANING_MS, DRAIN_POLL_MS, JOB_POLL_MS, POLLING_NODES } from "./constants";
import { type JobClient, JobState, type JobView } from "./jobClient";

export type { JobTaskOptions } from "./_lib/jobShared";

/** The running job task. */
export interface JobTask extends JobClient, DumpSource, Disposable {
    /**
     * Refuses new jobs, stops those that this node works on and gives them up, with their tokens where that is worth
     * it, so that other nodes take them at once. A job that may not be repeated and has begun is waited for instead, at
     * most `boundMs`. Call it before the execution is drained.
     */
    drain(boundMs: number): Promise<void>;
}

const CANCEL_TRIES = 5;

/**
 * Starts the job task.
 *
 * @param options - Store, group commit, leases and execution
 * @returns The client, which also shows the task's state and ends it
 * @example
 * const jobs = createJobTask({ nodeId, table, objects, commits, leases, execution, clock, random, ...others });
 */
export function createJobTask(options: JobTaskOptions): JobTask {
    const shared = createShared(options);
    void superviseTask("job poll", () => runPolls(shared), {
        clock: options.clock,
        reportFailure: (name, failure) => options.reportEvent("job poll failed", { name, kind: failure.kind }),
    });
    return {
        name: "jobs",
        submitJob: async (context, chat) => {
            if (shared.isDraining) {
                return err(createFailure(FailureKind.ShuttingDown, "The node is shutting down.", { retryAfterMs: 0 }));
            }
            const accepted = await submitJob(shared, context, chat);
            if (accepted.isErr()) {
                return err(accepted.error);
            }
            countAccepted(shared, accepted.value.record);
            if (accepted.value.run !== undefined) {
                startAccepted(shared, accepted.value.run);
            }
            return ok(buildView(shared, accepted.value.record, accepted.value.record.answer));
        },
        readJob: (accountName, jobId) => readJob(shared, accountName, jobId),
        listJobs: (accountName, page) => listJobs(shared, accountName, page),
        cancelJob: (accountName, jobId) => cancelJob(shared, accountName, jobId),
        drain: boundMs => drainJobs(shared, boundMs),
        dumpState: () => ({
            ...shared.counts,
            running: [...shared.runs.keys()].slice(0, 50),
            waiting: shared.waiting.length,
            holder: shared.lease.readHolder(),
            isDraining: shared.isDraining,
        }),
        dispose: () => {
            shared.isDisposed = true;
            shared.runs.forEach(stopRun);
        },
    };
}

function createShared(options: JobTaskOptions): JobShared {
    return {
        options,
        lease: createNodeLease(options),
        bodies: createBodyWriter(options),
        runs: new Map(),
        waiting: [],
        adopting: new Set(),
        counts: { accepted: 0, taken: 0, adopted: 0, ended: 0, lost: 0, checkpoints: 0, cleaned: 0 },
        waitingAcceptances: 0,
        isDraining: false,
        isDisposed: false,
    };
}

/** Polls until the task ends; the more nodes there are, the less often each of them polls. */
function* runPolls(shared: JobShared): TaskGenerator<void> {
    const { clock, listLiveNodeIds, random } = shared.options;
    let cleanAtMs = clock.readMonotonicMs() + CLEANING_MS * random.drawFraction();
    while (!shared.isDisposed && !shared.isDraining) {
        const spread = Math.max(1, listLiveNodeIds().length / POLLING_NODES);
        yield* waitFor(clock.waitMs(JOB_POLL_MS * spread * (0.5 + random.drawFraction())));
        if (shared.isDisposed || shared.isDraining) {
            return;
        }
        yield* pollJobs(shared);
        shared.lease.releaseIfIdle(shared.runs.size + shared.waiting.length > 0);
        if (clock.readMonotonicMs() >= cleanAtMs) {
            cleanAtMs = clock.readMonotonicMs() + CLEANING_MS * Math.max(1, listLiveNodeIds().length);
            yield* removeOldJobs(shared);
        }
    }
}

/** A job that was accepted while the node began to shut down is given up at once. */
function startAccepted(shared: JobShared, run: JobRun): void {
    if (shared.isDraining) {
        void shared.options.commits.commitEntry(buildHandover(run.open, ""));
    } else {
        startRun(shared, run);
    }
}

async function readJob(shared: JobShared, accountName: string, jobId: string): Promise<Result<JobView, Failure>> {
    const rows = await readJobRows(shared.options, accountName, jobId);
    if (rows.isErr()) {
        return err(rows.error);
    }
    const current = await expireIfLate(shared, rows.value);
    return buildStoredView(shared, current.job.record);
}

/** A job past its deadline is shown as failed even if no node has come round to it. */
async function expireIfLate(shared: JobShared, rows: JobRows): Promise<JobRows> {
    const { clock } = shared.options;
    const { open, job } = rows;
    const isLate = clock.readWallMs() >= job.record.deadlineWallMs + DEADLINE_MARGIN_MS;
    if (open === undefined || !isLate) {
        return rows;
    }
    await startTask(`expire ${job.record.jobId}`, function* () {
        yield* expireJob(shared, open);
    }).ended;
    const again = await readJobRows(shared.options, job.record.accountName, job.record.jobId);
    return again.unwrapOr(rows);
}

async function buildStoredView(shared: JobShared, record: JobRecord): Promise<Result<JobView, Failure>> {
    if (record.answerObject === undefined) {
        return ok(buildView(shared, record, record.answer));
    }
    const body = await waitForStore(shared.options.clock, shared.options.objects.readObject(record.answerObject));
    return body
        .map(bytes => buildView(shared, record, JSON.parse(bytes.toString("utf8")) as JobAnswer))
        .mapErr(failure => ({ ...failure, kind: FailureKind.StoreUnavailable }));
}

function buildView(shared: JobShared, record: JobRecord, answer: JobAnswer | undefined): JobView {
    const { jobId, accountName, className, model, acceptedAtWallMs, deadlineWallMs, endedAtWallMs, failure } = record;
    const isRunning = record.state === JobState.Queued && shared.runs.get(jobId)?.chat !== undefined;
    const state = isRunning ? JobState.Running : record.state;
    return {
        jobId,
        accountName,
        className,
        model,
        state,
        acceptedAtWallMs,
        deadlineWallMs,
        endedAtWallMs,
        answer,
        failure,
    };
}

async function listJobs(
    shared: JobShared,
    accountName: string,
    page: { readonly after?: string; readonly limit: number },
): Promise<Result<readonly JobView[], Failure>> {
    const prefix = buildAccountPrefix(accountName);
    const after = page.after === undefined ? undefined : `${prefix}${page.after}`;
    const { clock, table } = shared.options;
    const rows = await waitForStore(clock, table.listRows(prefix, { after, limit: page.limit }));
    if (rows.isErr()) {
        return err({ ...rows.error, kind: FailureKind.StoreUnavailable });
    }
    const records = rows.value.flatMap(row => decodeJob(row.value) ?? []);
    return ok(records.map(record => buildView(shared, record, record.answer)));
}

async function cancelJob(shared: JobShared, accountName: string, jobId: string): Promise<Result<JobView, Failure>> {
    const { clock, commits } = shared.options;
    for (let tries = 0; tries < CANCEL_TRIES; tries++) {
        const rows = await readJobRows(shared.options, accountName, jobId);
        if (rows.isErr()) {
            return err(rows.error);
        }
        const { job, open } = rows.value;
        if (job.record.endedAtWallMs !== undefined) {
            return buildStoredView(shared, job.record);
        }
        if (open !== undefined) {
            const entry = buildEnding(job, open, { state: JobState.Cancelled }, clock.readWallMs());
            const committed = await commits.commitEntry(entry);
            const run = shared.runs.get(jobId);
            if (committed.isOk() && run !== undefined) {
                stopRun(run);
            }
            if (committed.isErr() && committed.error.kind === FailureKind.StoreUnavailable) {
                return err(committed.error);
            }
        }
    }
    return err(createFailure(FailureKind.StoreUnavailable, "The job could not be cancelled now."));
}

async function drainJobs(shared: JobShared, boundMs: number): Promise<void> {
    const { clock } = shared.options;
    const state = shared;
    state.isDraining = true;
    const runs = [...shared.runs.values(), ...shared.waiting.splice(0)].filter(run => !run.isEnding);
    const kept = runs.filter(run => !run.job.record.isIdempotent && run.chat !== undefined);
    await transferRuns(
        shared,
        runs.filter(run => !kept.includes(run)),
    );
    const untilMs = clock.readMonotonicMs() + boundMs;
    while (shared.runs.size > 0 && clock.readMonotonicMs() < untilMs) {
        await clock.waitMs(DRAIN_POLL_MS);
    }
    await transferRuns(
        shared,
        kept.filter(run => shared.runs.get(run.job.record.jobId) === run && !run.isEnding),
    );
    await shared.lease.release();
}

async function transferRuns(shared: JobShared, runs: readonly JobRun[]): Promise<void> {
    await Promise.all(
        runs.map(async run => {
            stopRun(run);
            await startTask(`hand over ${run.job.record.jobId}`, () => writeCheckpoint(shared, run, 1)).ended;
            await shared.options.commits.commitEntry(buildHandover(run.open, ""));
        }),
    );
}
