import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Metric } from "../../base/metrics/metric";
import { Execution, FailureKind } from "../../base/failure";
import { JOB_RETENTION_MS, MAXIMUM_JOB_MS } from "../../decisions/outcomes/jobs/constants";
import type { RequestContext } from "../../model/request";
import { buildChatRequest } from "../execution/_testing/createExecutionHarness";
import { StoreFault } from "../execution/_testing/createFakeStore";
import { StreamFault } from "../execution/_testing/faults";
import { runVirtualTime } from "../execution/_testing/runVirtualTime";
import { buildJobContext, createJobCluster, type JobCluster } from "./_testing/createJobCluster";
import { MAXIMUM_PENDING_SUBMISSIONS } from "./constants";
import { JobState, type JobView } from "./jobClient";

const ENDED: ReadonlySet<JobState> = new Set([JobState.Succeeded, JobState.Failed, JobState.Cancelled]);

const submit = (cluster: JobCluster, requestId: string, changes: Partial<RequestContext> = {}, maximumTokens = 40) => {
    const submitted = cluster.nodes[0]!.jobs.submitJob(
        buildJobContext(cluster, requestId, changes),
        buildChatRequest(maximumTokens),
    );
    return runVirtualTime(cluster.clock, submitted);
};

const waitMs = (cluster: JobCluster, delayMs: number) => runVirtualTime(cluster.clock, cluster.clock.waitMs(delayMs));

const readAt = async (cluster: JobCluster, node: number, jobId: string) =>
    (await runVirtualTime(cluster.clock, cluster.nodes[node]!.jobs.readJob("depot", jobId)))._unsafeUnwrap();

const waitForEnd = async (cluster: JobCluster, node: number, jobId: string): Promise<JobView> => {
    for (let tries = 0; tries < 400; tries++) {
        const view = await readAt(cluster, node, jobId);
        if (ENDED.has(view.state)) {
            return view;
        }
        await waitMs(cluster, 500);
    }
    return assert.fail(`job ${jobId} did not end`);
};

const countJobRows = (cluster: JobCluster) =>
    [...cluster.store.rows.keys()].filter(key => key.startsWith("jobs/account/")).length;

describe("accepting a job", () => {
    it("stores the job, executes it and makes its answer readable from every node", async () => {
        const cluster = createJobCluster(2);
        const accepted = (await submit(cluster, "first"))._unsafeUnwrap();
        assert.equal(countJobRows(cluster), 1);
        const view = await waitForEnd(cluster, 1, accepted.jobId);
        assert.equal(view.state, JobState.Succeeded);
        assert.match(view.answer?.text ?? "", /#0;.*#1;/);
        const large = (await submit(cluster, "large", {}, 2_000))._unsafeUnwrap();
        const ended = await waitForEnd(cluster, 1, large.jobId);
        const { text = "", usage } = ended.answer ?? {};
        assert.equal(usage?.outputTokens, text.split(";").length - 1);
    });

    for (const fault of Object.values(StoreFault)) {
        for (const step of [0, 1, 2, 3]) {
            it(`reports correctly whether the job was accepted when store call ${step} has the fault ${fault}`, async () => {
                let calls = 0;
                const drawFault = () => (calls++ === step ? fault : StoreFault.None);
                const cluster = createJobCluster(1, {}, { drawFault });
                const result = await submit(cluster, "job");
                if (result.isOk()) {
                    assert.equal(countJobRows(cluster), 1);
                    assert.equal((await waitForEnd(cluster, 0, result.value.jobId)).state, JobState.Succeeded);
                } else {
                    await waitMs(cluster, 3_000);
                    const isUnknown = result.error.kind === FailureKind.StoreOutcomeUnknown;
                    assert.ok(isUnknown || countJobRows(cluster) === 0, result.error.kind);
                }
            });
        }
    }

    // Guards against a gauge that shows jobs as open after they have ended.
    it("measures no open job once all have ended", async () => {
        const cluster = createJobCluster(1);
        const { jobId } = (await submit(cluster, "measured"))._unsafeUnwrap();
        await waitForEnd(cluster, 0, jobId);
        await waitMs(cluster, 100);
        assert.equal(
            cluster.metrics.reports.filter(report => report.startsWith(Metric.JobsOpen)).at(-1),
            "jobs.open 0",
        );
    });

    // Guards against a stored answer that broke off halfway being shown, or failing the read without a type.
    it("does not show a stored answer that is not whole", async () => {
        const cluster = createJobCluster(1);
        const { jobId } = (await submit(cluster, "large", {}, 2_000))._unsafeUnwrap();
        await waitForEnd(cluster, 0, jobId);
        const objectKey = cluster.store.objectKeys().find(key => key.startsWith("jobs/answers/")) ?? "";
        const { objects } = cluster.store;
        const whole = (await runVirtualTime(cluster.clock, objects.readObject(objectKey)))._unsafeUnwrap();
        await runVirtualTime(cluster.clock, objects.writeObject(objectKey, whole.subarray(0, whole.length / 2)));
        const read = await runVirtualTime(cluster.clock, cluster.nodes[0]!.jobs.readJob("depot", jobId));
        assert.equal(read._unsafeUnwrapErr().kind, FailureKind.OutcomeUnknown);
    });

    // Guards against a stored row that can't be read ending submissions for good.
    it("names an idempotency key whose row is malformed, and goes on accepting jobs", async () => {
        const cluster = createJobCluster(1);
        await submit(cluster, "first", { idempotencyKey: "key" });
        const [keyRow = ""] = [...cluster.store.rows.keys()].filter(key => key.startsWith("jobs/key/"));
        await runVirtualTime(
            cluster.clock,
            cluster.store.table.commitTransaction({
                token: "t",
                conditions: [],
                writes: [{ key: keyRow, value: "{" }],
            }),
        );
        for (let tries = 0; tries <= MAXIMUM_PENDING_SUBMISSIONS; tries++) {
            const failure = (await submit(cluster, `again-${tries}`, { idempotencyKey: "key" }))._unsafeUnwrapErr();
            assert.equal(failure.kind, FailureKind.StoreOutcomeUnknown);
        }
        assert.equal((await submit(cluster, "other")).isOk(), true);
    });

    it("is refused while the store is unavailable", async () => {
        const cluster = createJobCluster(1, {}, { drawFault: () => StoreFault.Unavailable });
        const failure = (await submit(cluster, "job"))._unsafeUnwrapErr();
        assert.equal(failure.kind, FailureKind.StoreUnavailable);
        assert.equal(failure.execution, Execution.NotRun);
    });

    it("batches hundreds of jobs into at most ten transactions and ten objects", async () => {
        const cluster = createJobCluster(1);
        const submitted = Array.from({ length: 300 }, (_unused, index) =>
            cluster.nodes[0]!.jobs.submitJob(buildJobContext(cluster, `job-${index}`), buildChatRequest()),
        );
        const results = await runVirtualTime(cluster.clock, Promise.all(submitted));
        assert.ok(results.every(result => result.isOk()));
        assert.ok(cluster.store.counts.commits <= 10, `${cluster.store.counts.commits} transactions`);
        assert.ok(cluster.store.counts.objectWrites <= 10, `${cluster.store.counts.objectWrites} objects`);
    });

    it("returns the same job for the same idempotency key and refuses a different request under it", async () => {
        const cluster = createJobCluster(1);
        const first = (await submit(cluster, "first", { idempotencyKey: "key" }))._unsafeUnwrap();
        const again = (await submit(cluster, "second", { idempotencyKey: "key" }))._unsafeUnwrap();
        assert.equal(again.jobId, first.jobId);
        assert.equal(countJobRows(cluster), 1);
        const reused = await submit(cluster, "third", { idempotencyKey: "key" }, 41);
        assert.equal(reused._unsafeUnwrapErr().kind, FailureKind.IdempotencyKeyReused);
    });
});

describe("an account's jobs", () => {
    it("are listed newest first in pages and are hidden from other accounts", async () => {
        const cluster = createJobCluster(1);
        const ids: string[] = [];
        for (const name of ["a", "b", "c"]) {
            ids.unshift((await submit(cluster, name))._unsafeUnwrap().jobId);
            await waitMs(cluster, 10);
        }
        await submit(cluster, "other", { accountName: "other" });
        const { jobs } = cluster.nodes[0]!;
        const all = (await runVirtualTime(cluster.clock, jobs.listJobs("depot", { limit: 10 })))._unsafeUnwrap();
        assert.deepEqual(
            all.map(job => job.jobId),
            ids,
        );
        const rest = await runVirtualTime(cluster.clock, jobs.listJobs("depot", { limit: 10, after: ids[0] }));
        assert.equal(rest._unsafeUnwrap().length, 2);
        for (const [account, jobId] of [
            ["other", ids[0]!],
            ["depot", "../other"],
        ] as const) {
            const read = await runVirtualTime(cluster.clock, jobs.readJob(account, jobId));
            assert.equal(read._unsafeUnwrapErr().kind, FailureKind.NotFound);
        }
    });

    it("can be cancelled through another node and stay cancelled", async () => {
        const cluster = createJobCluster(2, { tokenGapMs: 500 });
        const { jobId } = (await submit(cluster, "long", {}, 200))._unsafeUnwrap();
        await waitMs(cluster, 2_000);
        const cancelled = await runVirtualTime(cluster.clock, cluster.nodes[1]!.jobs.cancelJob("depot", jobId));
        assert.equal(cancelled._unsafeUnwrap().state, JobState.Cancelled);
        await waitMs(cluster, 10_000);
        assert.equal((await readAt(cluster, 0, jobId)).state, JobState.Cancelled);
        assert.equal((cluster.nodes[0]!.execution.dumpState() as { open: number }).open, 0);
    });

    it("fail at their deadline if they have not ended", async () => {
        const cluster = createJobCluster(1, { endpoints: 0 });
        const deadlineAtMs = cluster.clock.readMonotonicMs() + 5_000;
        const { jobId } = (await submit(cluster, "late", { deadlineAtMs }))._unsafeUnwrap();
        const view = await waitForEnd(cluster, 0, jobId);
        assert.equal(view.state, JobState.Failed);
        assert.ok((view.endedAtWallMs ?? 0) <= view.deadlineWallMs + 1_000);
    });

    it("fail at their deadline even if the node that held them is lost", async () => {
        const cluster = createJobCluster(2, { endpoints: 0 });
        const deadlineAtMs = cluster.clock.readMonotonicMs() + 5_000;
        const { jobId } = (await submit(cluster, "late", { deadlineAtMs }))._unsafeUnwrap();
        cluster.nodes[0]!.kill();
        await waitMs(cluster, 6_500);
        const view = await readAt(cluster, 1, jobId);
        assert.equal(view.failure?.kind, FailureKind.DeadlineExceeded);
        assert.equal(view.failure?.execution, Execution.Unknown);
    });

    it("are removed with all their rows and objects after their retention", async () => {
        const cluster = createJobCluster(1);
        const { jobId } = (await submit(cluster, "old", { idempotencyKey: "key" }, 2_000))._unsafeUnwrap();
        await waitForEnd(cluster, 0, jobId);
        cluster.clock.advanceMs(JOB_RETENTION_MS + MAXIMUM_JOB_MS + 2 * 3_600_000);
        await waitMs(cluster, 10_000);
        const left = [...cluster.store.rows.keys()].filter(key => key.startsWith("jobs/"));
        assert.deepEqual(left, []);
        assert.deepEqual(cluster.store.objectKeys(), []);
    });
});

describe("a job whose node is lost or shuts down", () => {
    it("is taken over by another node and succeeds with an answer that begins at the first token", async () => {
        const cluster = createJobCluster(3, { tokenGapMs: 200 });
        const { jobId } = (await submit(cluster, "survivor", {}, 100))._unsafeUnwrap();
        await waitMs(cluster, 1_000);
        cluster.nodes[0]!.kill();
        const view = await waitForEnd(cluster, 1, jobId);
        assert.equal(view.state, JobState.Succeeded);
        assert.match(view.answer?.text ?? "", /#0;/);
    });

    it("is released with a checkpoint by a node that shuts down, and taken over within seconds", async () => {
        const cluster = createJobCluster(2, { tokenGapMs: 100 });
        const { jobId } = (await submit(cluster, "handed on", {}, 2_000))._unsafeUnwrap();
        await waitMs(cluster, 3_000);
        const startedMs = cluster.clock.readMonotonicMs();
        await runVirtualTime(cluster.clock, cluster.nodes[0]!.jobs.drain(1_000));
        for (let tries = 0; (await readAt(cluster, 1, jobId)).state === JobState.Queued && tries < 100; tries++) {
            await waitMs(cluster, 100);
        }
        assert.ok(cluster.clock.readMonotonicMs() - startedMs < 6_000, "taken within a poll or two");
        assert.ok(cluster.store.objectKeys().some(key => key.startsWith("jobs/checkpoints/")));
        const late = await submit(cluster, "refused");
        assert.equal(late._unsafeUnwrapErr().kind, FailureKind.ShuttingDown);
    });

    it("ends only once even if its first node was merely partitioned from the store and kept running", async () => {
        const cluster = createJobCluster(2, { tokenGapMs: 1_000 });
        const { jobId } = (await submit(cluster, "cut off", {}, 120))._unsafeUnwrap();
        await waitMs(cluster, 1_000);
        cluster.nodes[0]!.setPartitioned(true);
        const view = await waitForEnd(cluster, 1, jobId);
        assert.equal(view.state, JobState.Succeeded);
        cluster.nodes[0]!.setPartitioned(false);
        await waitMs(cluster, 30_000);
        assert.deepEqual(await readAt(cluster, 1, jobId), view);
        assert.deepEqual((cluster.nodes[0]!.jobs.dumpState() as { running: string[] }).running, []);
    });

    it("is not executed again if it must not be repeated, and fails without being reported as not run", async () => {
        const cluster = createJobCluster(2, { tokenGapMs: 1_000 });
        const changes = {
            isIdempotent: false,
            idempotencyKey: "key",
            deadlineAtMs: cluster.clock.readMonotonicMs() + 120_000,
        };
        const { jobId } = (await submit(cluster, "once", changes, 200))._unsafeUnwrap();
        await waitMs(cluster, 1_000);
        const sentBefore = [...cluster.fleet.record.sent.values()].reduce((sum, sent) => sum + sent, 0);
        cluster.nodes[0]!.kill();
        const view = await waitForEnd(cluster, 1, jobId);
        assert.equal(view.state, JobState.Failed);
        assert.notEqual(view.failure?.execution, Execution.NotRun);
        const sentAfter = [...cluster.fleet.record.sent.values()].reduce((sum, sent) => sum + sent, 0);
        assert.equal(sentBefore, 1);
        assert.equal(sentAfter, 1);
    });

    it("needs an idempotency key if it must not be repeated", async () => {
        const cluster = createJobCluster(1);
        const failure = (await submit(cluster, "keyless", { isIdempotent: false }))._unsafeUnwrapErr();
        assert.equal(failure.kind, FailureKind.IdempotencyKeyRequired);
    });
});

describe("jobs whose model runner fails", () => {
    it("are retried and succeed", async () => {
        const drawStreamFault = (_requestId: string, attempt: number) =>
            attempt === 1 ? StreamFault.BrokenDuring : StreamFault.None;
        const cluster = createJobCluster(1, { drawStreamFault });
        const { jobId } = (await submit(cluster, "faulty"))._unsafeUnwrap();
        assert.equal((await waitForEnd(cluster, 0, jobId)).state, JobState.Succeeded);
    });
});
