/**
 * @module Finds open jobs that no live node is working on.
 */
import { type Step, waitFor } from "../../../base/csp";
import { createFailure } from "../../../base/createFailure";
import { Execution, FailureKind } from "../../../base/failure";
import { buildJobHandover } from "../../../decisions/outcomes/jobs/buildJobHandover";
import { decideJobStep, JobStep } from "../../../decisions/outcomes/jobs/decideJobStep";
import type { OpenJob, Versioned } from "../../../decisions/outcomes/jobs/jobRecord";
import { decodeOpenJob, OPEN_JOB_PREFIX } from "../../../decisions/outcomes/jobs/jobRows";
import { waitForStore } from "../../../ports/waitForStore";
import { JOB_LEASE_MS, LISTING_PAGE_ROWS, MAXIMUM_JOBS_PER_POLL } from "../constants";
import { JobState } from "../jobClient";
import { parseLeaseNodeId } from "./parseLeaseNodeId";
import { endJob } from "./endJob";
import type { JobRun, SharedJobState } from "./sharedJobState";
import { readJobRows } from "./readJobRows";
import { startRun } from "./startRun";
import { stopRun } from "./stopRun";

/**
 * Reads all open jobs once. Takes jobs without a holder, tries to take over the leases of nodes that may be gone, ends
 * jobs past their deadline, and stops local runs of jobs that this node no longer holds.
 *
 * @param shared - State of the job task
 * @example
 * yield* pollJobs(shared);
 */
export function* pollJobs(shared: SharedJobState): Step<void> {
    const runsBefore = [...shared.runs.values(), ...shared.waiting];
    const listed = yield* listOpenJobs(shared);
    if (listed === undefined) {
        return;
    }
    stopLostRuns(runsBefore, listed);
    let left = MAXIMUM_JOBS_PER_POLL;
    for (const open of shuffleJobs(shared, [...listed.values()])) {
        if (left === 0 || shared.isDraining) {
            return;
        }
        left -= (yield* handleOpenJob(shared, open)) ? 1 : 0;
    }
}

/** Lists the open jobs by id; `undefined` if a page could not be read. */
function* listOpenJobs(shared: SharedJobState): Step<ReadonlyMap<string, Versioned<OpenJob>> | undefined> {
    const { clock, table } = shared.options;
    const listed = new Map<string, Versioned<OpenJob>>();
    let after: string | undefined;
    do {
        const page = yield* waitFor(
            waitForStore(clock, table.listRows(OPEN_JOB_PREFIX, { after, limit: LISTING_PAGE_ROWS })),
        );
        if (page.isErr()) {
            return undefined;
        }
        for (const row of page.value) {
            const record = decodeOpenJob(row.value);
            if (record !== undefined) {
                listed.set(record.jobId, { record, version: row.version });
            }
        }
        after = page.value.length === LISTING_PAGE_ROWS ? page.value.at(-1)?.key : undefined;
    } while (after !== undefined);
    return listed;
}

/** Stops the runs whose jobs were ended, cancelled or taken by another node since this node started them. */
function stopLostRuns(runs: readonly JobRun[], listed: ReadonlyMap<string, Versioned<OpenJob>>): void {
    for (const run of runs) {
        const open = listed.get(run.job.record.jobId);
        if (open === undefined || open.version > run.open.version) {
            stopRun(run);
        }
    }
}

/** Rotates the list to a random start, so that different nodes rarely try to take the same job. */
function shuffleJobs(shared: SharedJobState, jobs: readonly Versioned<OpenJob>[]): readonly Versioned<OpenJob>[] {
    const start = jobs.length === 0 ? 0 : shared.options.random.drawInteger(0, jobs.length - 1);
    return [...jobs.slice(start), ...jobs.slice(0, start)];
}

/** Handles one open job; returns whether it counts towards `MAXIMUM_JOBS_PER_POLL`. */
function* handleOpenJob(shared: SharedJobState, open: Versioned<OpenJob>): Step<boolean> {
    const { jobId, holder } = open.record;
    const isWaiting = shared.waiting.some(run => run.job.record.jobId === jobId);
    const viewer = {
        holder: shared.lease.readHolder(),
        isRunningHere: shared.runs.has(jobId) || isWaiting,
        isHolderSuspect: isHolderSuspect(shared, holder),
    };
    const step = decideJobStep(open.record, viewer, shared.options.clock.readWallMs());
    return yield* STEP_HANDLERS[step](shared, open);
}

const STEP_HANDLERS: Readonly<Record<JobStep, (shared: SharedJobState, open: Versioned<OpenJob>) => Step<boolean>>> = {
    [JobStep.Leave]: function* () {
        return false;
    },
    [JobStep.Run]: function* (shared, open) {
        return yield* startHeldJob(shared, open);
    },
    [JobStep.Take]: takeJob,
    [JobStep.Expire]: expireJob,
    [JobStep.Adopt]: function* (shared, open) {
        void takeOverLease(shared, open.record.holder);
        return false;
    },
};

/**
 * Takes a job that has no holder and starts it.
 *
 * @param shared - State of the job task
 * @param open - Open row of the job
 * @returns Whether this node took and started the job
 * @example
 * const isTaken = yield* takeJob(shared, open);
 */
function* takeJob(shared: SharedJobState, open: Versioned<OpenJob>): Step<boolean> {
    yield* waitFor(shared.lease.ensureHeld());
    const holder = shared.lease.readHolder();
    if (holder === "" || shared.isDraining) {
        return false;
    }
    const entry = buildJobHandover(open, holder);
    const committed = yield* waitFor(shared.options.commits.commitEntry(entry));
    if (committed.isErr()) {
        return false;
    }
    shared.counts.taken++;
    const version = committed.value[0];
    const record = { ...open.record, holder, epoch: open.record.epoch + 1 };
    return version === undefined ? false : yield* startHeldJob(shared, { record, version });
}

/** Starts a job that this node holds, unless its open row has changed or it is running here already. */
function* startHeldJob(shared: SharedJobState, open: Versioned<OpenJob>): Step<boolean> {
    const { accountName, jobId } = open.record;
    const rows = yield* waitFor(readJobRows(shared.options, accountName, jobId));
    const isCurrent = rows.isOk() && rows.value.open?.version === open.version;
    if (!isCurrent || shared.runs.has(jobId)) {
        return false;
    }
    startRun(shared, { job: rows.value.job, open, texts: [], chat: undefined, isStopped: false, isEnding: false });
    return true;
}

/**
 * Marks a job as failed after its deadline, whichever node holds it.
 *
 * @param shared - State of the job task
 * @param open - Open row of the job
 * @returns Whether this call ended the job
 * @example
 * yield* expireJob(shared, open);
 */
export function* expireJob(shared: SharedJobState, open: Versioned<OpenJob>): Step<boolean> {
    const { accountName, jobId, holder, epoch } = open.record;
    const rows = yield* waitFor(readJobRows(shared.options, accountName, jobId));
    if (rows.isErr() || rows.value.open?.version !== open.version) {
        return false;
    }
    const isUntouched = holder === "" && epoch === 1;
    const execution = isUntouched ? Execution.NotRun : Execution.Unknown;
    const message = "The job did not end by its deadline.";
    const failure = createFailure(FailureKind.DeadlineExceeded, message, { execution });
    return yield* endJob(shared, rows.value.job, open, { state: JobState.Failed, failure });
}

/**
 * Tells whether to try to take over the holder's lease. A node that is believed alive is checked now and then too: each
 * node does so with a probability of one over the number of live nodes, so that about one node checks each open job per
 * round of polls.
 */
function isHolderSuspect(shared: SharedJobState, holder: string): boolean {
    const liveNodeIds = shared.options.listLiveNodeIds();
    const isListed = liveNodeIds.includes(parseLeaseNodeId(holder));
    return !isListed || shared.options.random.drawFraction() < 1 / Math.max(1, liveNodeIds.length);
}

/**
 * Waits for the lease of a node that may be gone. If the lease lapses, this node acquires it and clears the holder of
 * that node's jobs, so that any node can take them.
 */
async function takeOverLease(shared: SharedJobState, holder: string): Promise<void> {
    if (holder === "" || shared.pendingTakeovers.has(holder)) {
        return;
    }
    shared.pendingTakeovers.add(holder);
    const { commits, leases } = shared.options;
    const acquired = await leases.acquireLease(holder, { durationMs: JOB_LEASE_MS, waitMs: JOB_LEASE_MS * 1.5 });
    if (acquired.isOk()) {
        shared.counts.adopted++;
        for (const open of await listJobsHeldBy(shared, holder)) {
            if (acquired.value.checkHeld().isOk()) {
                await commits.commitEntry(buildJobHandover(open, ""));
            }
        }
        await acquired.value.release();
    }
    shared.pendingTakeovers.delete(holder);
}

async function listJobsHeldBy(shared: SharedJobState, holder: string): Promise<readonly Versioned<OpenJob>[]> {
    const { clock, table } = shared.options;
    const found: Versioned<OpenJob>[] = [];
    let after: string | undefined;
    do {
        const page = await waitForStore(clock, table.listRows(OPEN_JOB_PREFIX, { after, limit: LISTING_PAGE_ROWS }));
        const rows = page.isOk() ? page.value : [];
        for (const row of rows) {
            const record = decodeOpenJob(row.value);
            if (record?.holder === holder) {
                found.push({ record, version: row.version });
            }
        }
        after = rows.length === LISTING_PAGE_ROWS ? rows.at(-1)?.key : undefined;
    } while (after !== undefined);
    return found;
}
