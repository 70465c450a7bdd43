/**
 * @module Writes to the table for each accepted and ended job, by the size of groups.
 */
import { createManualClock } from "../../src/base/createManualClock";
import { createRandom } from "../../src/base/createRandom";
import { buildJobAcceptance } from "../../src/decisions/outcomes/jobs/buildJobAcceptance";
import { buildJobEnding } from "../../src/decisions/outcomes/jobs/buildJobEnding";
import type { JobRecord } from "../../src/decisions/outcomes/jobs/jobRecord";
import { buildJobId } from "../../src/decisions/outcomes/jobs/buildJobId";
import { createGroupCommitTask } from "../../src/tasks/claims/createGroupCommitTask";
import { createFakeStore } from "../../src/tasks/execution/_testing/createFakeStore";
import { runVirtualTime } from "../../src/tasks/execution/_testing/runVirtualTime";
import { JobState } from "../../src/tasks/jobs/jobClient";

const SECONDS = 5;
const STORE_LATENCY_MS = 15;

/** Writes of one size of group. */
export interface JobWritesResult {
    readonly windowMs: number;
    readonly groupEntries: number;
    readonly jobsPerSecond: number;
    /** Transactions for each job, from acceptance to end. */
    readonly writesPerJob: number;
    readonly writesPerSecond: number;
    /** Mean milliseconds from a submission to its commit. */
    readonly meanCommitMs: number;
}

/**
 * Measures the group commit with jobs that are accepted and end two seconds later.
 *
 * @param jobsPerSecond - Jobs accepted by one committing node
 * @param windowMs - How long a group waits
 * @param groupEntries - Most entries of a group
 * @returns Writes for each job and each second
 * @example
 * await measureJobWrites(200, 25, 128);
 */
export async function measureJobWrites(
    jobsPerSecond: number,
    windowMs: number,
    groupEntries: number,
): Promise<JobWritesResult> {
    const clock = createManualClock();
    const random = createRandom(1);
    const store = createFakeStore({ clock, latencyMs: STORE_LATENCY_MS });
    const commits = createGroupCommitTask({ table: store.table, clock, windowMs, maximumGroupEntries: groupEntries });
    const jobs = jobsPerSecond * SECONDS;
    let waitedMs = 0;
    const ended = Array.from({ length: jobs }, async (_unused, index) => {
        await clock.waitMs(random.drawInteger(0, SECONDS * 1_000));
        const record = buildRecord(index, clock.readWallMs());
        const startedMs = clock.readMonotonicMs();
        const entry = buildJobAcceptance(record, "jobs/node/1");
        const versions = (await commits.commitEntry(entry))._unsafeUnwrap();
        waitedMs += clock.readMonotonicMs() - startedMs;
        await clock.waitMs(2_000);
        const open = { record: JSON.parse(entry.writes[1]!.value!), version: versions[1]! };
        const ending = buildJobEnding({ record, version: versions[0]! }, open, { state: JobState.Succeeded }, 0);
        (await commits.commitEntry(ending))._unsafeUnwrap();
    });
    await runVirtualTime(clock, Promise.all(ended));
    return {
        windowMs,
        groupEntries,
        jobsPerSecond,
        writesPerJob: store.counts.commits / jobs,
        writesPerSecond: store.counts.commits / (clock.readMonotonicMs() / 1_000),
        meanCommitMs: waitedMs / jobs,
    };
}

function buildRecord(index: number, nowWallMs: number): JobRecord {
    return {
        jobId: buildJobId(nowWallMs, String(index)),
        accountName: "account",
        className: "digest",
        isIdempotent: true,
        model: "chat",
        state: JobState.Queued,
        acceptedAtWallMs: nowWallMs,
        deadlineWallMs: nowWallMs + 60_000,
        body: { objectKey: "jobs/bodies/1", start: 0, end: 1 },
    };
}
