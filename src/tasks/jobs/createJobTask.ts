/**
 * @module Durable jobs. A job is accepted once it is stored, executed by one node at a time, and kept for days after
 * its end.
 */
import { err, ok, type Result } from "neverthrow";
import { superviseTask, type TaskGenerator, startTask, waitFor } from "../../base/csp";
import { createFailure } from "../../base/createFailure";
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import { buildJobEnding } from "../../decisions/outcomes/jobs/buildJobEnding";
import { buildJobHandover } from "../../decisions/outcomes/jobs/buildJobHandover";
import { DEADLINE_MARGIN_MS } from "../../decisions/outcomes/jobs/constants";
import type { JobAnswer, JobRecord } from "../../decisions/outcomes/jobs/jobRecord";
import { decodeJob, decodeJobAnswer } from "../../decisions/outcomes/jobs/jobRows";
import { buildAccountPrefix } from "../../decisions/outcomes/jobs/buildAccountPrefix";
import { waitForStore } from "../../ports/waitForStore";
import { writeCheckpoint } from "./_lib/writeCheckpoint";
import { removeOldJobs } from "./_lib/removeOldJobs";
import { createBodyWriter } from "./_lib/createBodyWriter";
import { createNodeLease } from "./_lib/createNodeLease";
import type { JobRun, SharedJobState, JobTaskOptions } from "./_lib/sharedJobState";
import { expireJob, pollJobs } from "./_lib/pollJobs";
import { type JobRows, readJobRows } from "./_lib/readJobRows";
import { startRun } from "./_lib/startRun";
import { stopRun } from "./_lib/stopRun";
import { submitJob } from "./_lib/submitJob";
import { countAcceptedJob } from "./_lib/countAcceptedJob";
import {
    CLEANUP_INTERVAL_MS,
    DRAIN_POLL_INTERVAL_MS,
    JOB_POLL_INTERVAL_MS,
    FULL_RATE_POLLING_NODES,
} from "./constants";
import { type JobClient, JobState, type JobView } from "./jobClient";

export type { JobTaskOptions } from "./_lib/sharedJobState";

/** The running job task. */
export interface JobTask extends JobClient, DumpSource, Disposable {
    /**
     * Refuses new jobs, stops the running ones and releases them, so that other nodes can take them immediately. A
     * checkpoint is written where it is worth its cost. A started job that must not be repeated is waited for instead,
     * for at most `boundMs`. Call this before draining the execution task.
     */
    drain(boundMs: number): Promise<void>;
}

const MAXIMUM_CANCEL_ATTEMPTS = 5;

/**
 * Starts the job task.
 *
 * @param options - Dependencies of the task
 * @returns The job client, which can also be drained, dumped and disposed of
 * @example
 * const jobs = createJobTask({ nodeId, table, objects, commits, leases, execution, clock, random, ...others });
 */
export function createJobTask(options: JobTaskOptions): JobTask {
    const shared = createSharedState(options);
    void superviseTask("job poll", () => runPollLoop(shared), {
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
            countAcceptedJob(shared, accepted.value.record);
            if (accepted.value.run !== undefined) {
                startAcceptedJob(shared, accepted.value.run);
            }
            return ok(buildJobView(shared, accepted.value.record, accepted.value.record.answer));
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

function createSharedState(options: JobTaskOptions): SharedJobState {
    return {
        options,
        lease: createNodeLease(options),
        bodies: createBodyWriter(options),
        runs: new Map(),
        waiting: [],
        pendingTakeovers: new Set(),
        counts: { accepted: 0, taken: 0, adopted: 0, ended: 0, lost: 0, checkpoints: 0, cleaned: 0 },
        pendingSubmissions: 0,
        isDraining: false,
        isDisposed: false,
    };
}

/** Polls until the task is drained or disposed of. In large clusters each node polls and cleans up less often. */
function* runPollLoop(shared: SharedJobState): TaskGenerator<void> {
    const { clock, listLiveNodeIds, random } = shared.options;
    let cleanAtMs = clock.readMonotonicMs() + CLEANUP_INTERVAL_MS * random.drawFraction();
    while (!shared.isDisposed && !shared.isDraining) {
        const spread = Math.max(1, listLiveNodeIds().length / FULL_RATE_POLLING_NODES);
        yield* waitFor(clock.waitMs(JOB_POLL_INTERVAL_MS * spread * (0.5 + random.drawFraction())));
        if (shared.isDisposed || shared.isDraining) {
            return;
        }
        yield* pollJobs(shared);
        shared.lease.releaseIfIdle(shared.runs.size + shared.waiting.length > 0);
        if (clock.readMonotonicMs() >= cleanAtMs) {
            cleanAtMs = clock.readMonotonicMs() + CLEANUP_INTERVAL_MS * Math.max(1, listLiveNodeIds().length);
            yield* removeOldJobs(shared);
        }
    }
}

/** Starts an accepted job. If the node began to shut down in the meantime, releases it for other nodes instead. */
function startAcceptedJob(shared: SharedJobState, run: JobRun): void {
    if (shared.isDraining) {
        void shared.options.commits.commitEntry(buildJobHandover(run.open, ""));
    } else {
        startRun(shared, run);
    }
}

async function readJob(shared: SharedJobState, accountName: string, jobId: string): Promise<Result<JobView, Failure>> {
    const rows = await readJobRows(shared.options, accountName, jobId);
    if (rows.isErr()) {
        return err(rows.error);
    }
    const current = await expireOverdueJob(shared, rows.value);
    return loadJobView(shared, current.job.record);
}

/** Fails a job past its deadline when it is read, so that callers see the failure even if no node has polled it yet. */
async function expireOverdueJob(shared: SharedJobState, rows: JobRows): Promise<JobRows> {
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

/** Builds the view of a job, reading a large answer from the object store. */
async function loadJobView(shared: SharedJobState, record: JobRecord): Promise<Result<JobView, Failure>> {
    if (record.answerObject === undefined) {
        return ok(buildJobView(shared, record, record.answer));
    }
    const body = await waitForStore(shared.options.clock, shared.options.objects.readObject(record.answerObject));
    if (body.isErr()) {
        return err({ ...body.error, kind: FailureKind.StoreUnavailable });
    }
    const answer = decodeJobAnswer(body.value.toString("utf8"));
    const message = "The stored answer of the job can't be read.";
    return answer === undefined
        ? err(createFailure(FailureKind.OutcomeUnknown, message, { execution: Execution.Ran }))
        : ok(buildJobView(shared, record, answer));
}

function buildJobView(shared: SharedJobState, record: JobRecord, answer: JobAnswer | undefined): JobView {
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
    shared: SharedJobState,
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
    return ok(records.map(record => buildJobView(shared, record, record.answer)));
}

async function cancelJob(
    shared: SharedJobState,
    accountName: string,
    jobId: string,
): Promise<Result<JobView, Failure>> {
    const { clock, commits } = shared.options;
    for (let tries = 0; tries < MAXIMUM_CANCEL_ATTEMPTS; tries++) {
        const rows = await readJobRows(shared.options, accountName, jobId);
        if (rows.isErr()) {
            return err(rows.error);
        }
        const { job, open } = rows.value;
        if (job.record.endedAtWallMs !== undefined) {
            return loadJobView(shared, job.record);
        }
        if (open !== undefined) {
            const entry = buildJobEnding(job, open, { state: JobState.Cancelled }, clock.readWallMs());
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
    return err(createFailure(FailureKind.StoreUnavailable, "The job could not be cancelled at this time."));
}

async function drainJobs(shared: SharedJobState, boundMs: number): Promise<void> {
    const { clock } = shared.options;
    const state = shared;
    state.isDraining = true;
    const runs = [...shared.runs.values(), ...shared.waiting.splice(0)].filter(run => !run.isEnding);
    const unrepeatable = runs.filter(run => !run.job.record.isIdempotent && run.chat !== undefined);
    await transferJobs(
        shared,
        runs.filter(run => !unrepeatable.includes(run)),
    );
    const untilMs = clock.readMonotonicMs() + boundMs;
    while (shared.runs.size > 0 && clock.readMonotonicMs() < untilMs) {
        await clock.waitMs(DRAIN_POLL_INTERVAL_MS);
    }
    await transferJobs(
        shared,
        unrepeatable.filter(run => shared.runs.get(run.job.record.jobId) === run && !run.isEnding),
    );
    await shared.lease.release();
}

/** Stops the runs, writes their checkpoints and clears the holder of their jobs, so that other nodes can take them. */
async function transferJobs(shared: SharedJobState, runs: readonly JobRun[]): Promise<void> {
    await Promise.all(
        runs.map(async run => {
            stopRun(run);
            await startTask(`hand over ${run.job.record.jobId}`, () => writeCheckpoint(shared, run, 1)).ended;
            await shared.options.commits.commitEntry(buildJobHandover(run.open, ""));
        }),
    );
}
