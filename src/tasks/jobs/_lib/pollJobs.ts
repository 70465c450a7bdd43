/**
 * @module Looking for jobs that nobody works on.
 */
import { type TaskGenerator, waitFor } from "../../../base/csp";
import { createFailure } from "../../../base/createFailure";
import { Execution, FailureKind } from "../../../base/failure";
import { buildHandover } from "../../../decisions/outcomes/jobs/buildHandover";
import { decideJobStep, JobStep } from "../../../decisions/outcomes/jobs/decideJobStep";
import type { OpenJob, Versioned } from "../../../decisions/outcomes/jobs/jobRecord";
import { decodeOpenJob, OPEN_PREFIX } from "../../../decisions/outcomes/jobs/jobRows";
import { waitForStore } from "../../../ports/waitForStore";
import { JOB_LEASE_MS, PAGE_ROWS, TAKEN_PER_POLL } from "../constants";
import { JobState } from "../jobClient";
import { parseLeaseName } from "./parseLeaseName";
import { endJob } from "./endJob";
import type { JobRun, JobShared } from "./jobShared";
import { readJobRows } from "./readJobRows";
import { startRun } from "./startRun";
import { stopRun } from "./stopRun";

/**
 * Reads all open jobs once: takes those without holder, adopts those of nodes whose lease has lapsed, ends those past
 * their deadline, and stops those that this node has lost.
 *
 * @param shared - The job task
 * @example
 * yield* pollJobs(shared);
 */
export function* pollJobs(shared: JobShared): TaskGenerator<void> {
    const runsBefore = [...shared.runs.values(), ...shared.waiting];
    const listed = yield* listOpenJobs(shared);
    if (listed === undefined) {
        return;
    }
    stopLostRuns(runsBefore, listed);
    let left = TAKEN_PER_POLL;
    for (const open of shuffleJobs(shared, [...listed.values()])) {
        if (left === 0 || shared.isDraining) {
            return;
        }
        left -= (yield* handleOpenJob(shared, open)) ? 1 : 0;
    }
}

function* listOpenJobs(shared: JobShared): TaskGenerator<ReadonlyMap<string, Versioned<OpenJob>> | undefined> {
    const { clock, table } = shared.options;
    const listed = new Map<string, Versioned<OpenJob>>();
    let after: string | undefined;
    do {
        const page = yield* waitFor(waitForStore(clock, table.listRows(OPEN_PREFIX, { after, limit: PAGE_ROWS })));
        if (page.isErr()) {
            return undefined;
        }
        for (const row of page.value) {
            const record = decodeOpenJob(row.value);
            if (record !== undefined) {
                listed.set(record.jobId, { record, version: row.version });
            }
        }
        after = page.value.length === PAGE_ROWS ? page.value.at(-1)?.key : undefined;
    } while (after !== undefined);
    return listed;
}

/** Jobs that were ended, cancelled or taken elsewhere since this node began them. */
function stopLostRuns(runs: readonly JobRun[], listed: ReadonlyMap<string, Versioned<OpenJob>>): void {
    for (const run of runs) {
        const open = listed.get(run.job.record.jobId);
        if (open === undefined || open.version > run.open.version) {
            stopRun(run);
        }
    }
}

/** Different nodes begin at different jobs, so that they seldom try to take the same one. */
function shuffleJobs(shared: JobShared, jobs: readonly Versioned<OpenJob>[]): readonly Versioned<OpenJob>[] {
    const start = jobs.length === 0 ? 0 : shared.options.random.drawInteger(0, jobs.length - 1);
    return [...jobs.slice(start), ...jobs.slice(0, start)];
}

function* handleOpenJob(shared: JobShared, open: Versioned<OpenJob>): TaskGenerator<boolean> {
    const { jobId, holder } = open.record;
    const isWaiting = shared.waiting.some(run => run.job.record.jobId === jobId);
    const viewer = {
        holder: shared.lease.readHolder(),
        isRunningHere: shared.runs.has(jobId) || isWaiting,
        isHolderSuspect: isSuspect(shared, holder),
    };
    const step = decideJobStep(open.record, viewer, shared.options.clock.readWallMs());
    return yield* STEPS[step](shared, open);
}

const STEPS: Readonly<Record<JobStep, (shared: JobShared, open: Versioned<OpenJob>) => TaskGenerator<boolean>>> = {
    [JobStep.Leave]: function* () {
        return false;
    },
    [JobStep.Run]: function* (shared, open) {
        return yield* startHeld(shared, open);
    },
    [JobStep.Take]: takeJob,
    [JobStep.Expire]: expireJob,
    [JobStep.Adopt]: function* (shared, open) {
        void takeOverHolder(shared, open.record.holder);
        return false;
    },
};

/**
 * Takes a job that nobody holds, or whose holder's lease this node has taken over.
 *
 * @param shared - The job task
 * @param open - The job's open row
 * @returns Whether this node has it now
 * @example
 * const isTaken = yield* takeJob(shared, open);
 */
function* takeJob(shared: JobShared, open: Versioned<OpenJob>): TaskGenerator<boolean> {
    yield* waitFor(shared.lease.ensureHeld());
    const holder = shared.lease.readHolder();
    if (holder === "" || shared.isDraining) {
        return false;
    }
    const entry = buildHandover(open, holder);
    const committed = yield* waitFor(shared.options.commits.commitEntry(entry));
    if (committed.isErr()) {
        return false;
    }
    shared.counts.taken++;
    const version = committed.value[0];
    const record = { ...open.record, holder, epoch: open.record.epoch + 1 };
    return version === undefined ? false : yield* startHeld(shared, { record, version });
}

function* startHeld(shared: JobShared, open: Versioned<OpenJob>): TaskGenerator<boolean> {
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
 * Ends a job whose deadline has passed, whoever holds it.
 *
 * @param shared - The job task
 * @param open - The job's open row
 * @returns Whether it was ended here
 * @example
 * yield* expireJob(shared, open);
 */
export function* expireJob(shared: JobShared, open: Versioned<OpenJob>): TaskGenerator<boolean> {
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

function isSuspect(shared: JobShared, holder: string): boolean {
    const liveNodeIds = shared.options.listLiveNodeIds();
    const isListed = liveNodeIds.includes(parseLeaseName(holder));
    return !isListed || shared.options.random.drawFraction() < 1 / Math.max(1, liveNodeIds.length);
}

/**
 * Waits for the lease of a node that may be gone; if it lapses, this node holds it and frees the other's jobs.
 */
async function takeOverHolder(shared: JobShared, holder: string): Promise<void> {
    if (holder === "" || shared.adopting.has(holder)) {
        return;
    }
    shared.adopting.add(holder);
    const { commits, leases } = shared.options;
    const acquired = await leases.acquireLease(holder, { durationMs: JOB_LEASE_MS, waitMs: JOB_LEASE_MS * 1.5 });
    if (acquired.isOk()) {
        shared.counts.adopted++;
        for (const open of await listJobsOf(shared, holder)) {
            if (acquired.value.checkHeld().isOk()) {
                await commits.commitEntry(buildHandover(open, ""));
            }
        }
        await acquired.value.release();
    }
    shared.adopting.delete(holder);
}

async function listJobsOf(shared: JobShared, holder: string): Promise<readonly Versioned<OpenJob>[]> {
    const { clock, table } = shared.options;
    const found: Versioned<OpenJob>[] = [];
    let after: string | undefined;
    do {
        const page = await waitForStore(clock, table.listRows(OPEN_PREFIX, { after, limit: PAGE_ROWS }));
        const rows = page.isOk() ? page.value : [];
        for (const row of rows) {
            const record = decodeOpenJob(row.value);
            if (record?.holder === holder) {
                found.push({ record, version: row.version });
            }
        }
        after = rows.length === PAGE_ROWS ? rows.at(-1)?.key : undefined;
    } while (after !== undefined);
    return found;
}
