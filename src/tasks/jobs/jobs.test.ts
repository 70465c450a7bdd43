import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Execution, FailureKind } from "../../base/failure";
import { JOB_RETENTION_MS, LONGEST_JOB_MS } from "../../decisions/outcomes/jobs/constants";
import type { RequestContext } from "../../model/request";
import { buildChatRequest } from "../execution/_testing/createExecutionHarness";
import { StoreFault } from "../execution/_testing/createFakeStore";
import { StreamFault } from "../execution/_testing/faults";
import { runVirtualTime } from "../execution/_testing/runVirtualTime";
import { buildJobContext, createJobWorld, type JobWorld } from "./_testing/createJobWorld";
import { JobState, type JobView } from "./jobClient";

const ENDED: ReadonlySet<JobState> = new Set([JobState.Succeeded, JobState.Failed, JobState.Cancelled]);

const submit = (world: JobWorld, requestId: string, changes: Partial<RequestContext> = {}, maximumTokens = 40) => {
    const submitted = world.nodes[0]!.jobs.submitJob(
        buildJobContext(world, requestId, changes),
        buildChatRequest(maximumTokens),
    );
    return runVirtualTime(world.clock, submitted);
};

const waitMs = (world: JobWorld, delayMs: number) => runVirtualTime(world.clock, world.clock.waitMs(delayMs));

const readAt = async (world: JobWorld, node: number, jobId: string) =>
    (await runVirtualTime(world.clock, world.nodes[node]!.jobs.readJob("depot", jobId)))._unsafeUnwrap();

const waitForEnd = async (world: JobWorld, node: number, jobId: string): Promise<JobView> => {
    for (let tries = 0; tries < 400; tries++) {
        const view = await readAt(world, node, jobId);
        if (ENDED.has(view.state)) {
            return view;
        }
        await waitMs(world, 500);
    }
    return assert.fail(`job ${jobId} never ended`);
};

const countJobRows = (world: JobWorld) =>
    [...world.store.rows.keys()].filter(key => key.startsWith("jobs/account/")).length;

describe("accepting a job", () => {
    it("makes it durable, runs it and keeps its answer readable from every node", async () => {
        const world = createJobWorld(2);
        const accepted = (await submit(world, "first"))._unsafeUnwrap();
        assert.equal(countJobRows(world), 1);
        const view = await waitForEnd(world, 1, accepted.jobId);
        assert.equal(view.state, JobState.Succeeded);
        assert.match(view.answer?.text ?? "", /#0;.*#1;/);
        const large = (await submit(world, "large", {}, 2_000))._unsafeUnwrap();
        const ended = await waitForEnd(world, 1, large.jobId);
        const { text = "", usage } = ended.answer ?? {};
        assert.equal(usage?.outputTokens, text.split(";").length - 1);
    });

    for (const fault of Object.values(StoreFault)) {
        for (const step of [0, 1, 2, 3]) {
            it(`says what is true when call ${step} to the store is ${fault}`, async () => {
                let calls = 0;
                const drawFault = () => (calls++ === step ? fault : StoreFault.None);
                const world = createJobWorld(1, {}, { drawFault });
                const result = await submit(world, "job");
                if (result.isOk()) {
                    assert.equal(countJobRows(world), 1);
                    assert.equal((await waitForEnd(world, 0, result.value.jobId)).state, JobState.Succeeded);
                } else {
                    await waitMs(world, 3_000);
                    const isUnknown = result.error.kind === FailureKind.StoreOutcomeUnknown;
                    assert.ok(isUnknown || countJobRows(world) === 0, result.error.kind);
                }
            });
        }
    }

    it("is refused while the store is away", async () => {
        const world = createJobWorld(1, {}, { drawFault: () => StoreFault.Unavailable });
        const failure = (await submit(world, "job"))._unsafeUnwrapErr();
        assert.equal(failure.kind, FailureKind.StoreUnavailable);
        assert.equal(failure.execution, Execution.NotRun);
    });

    it("takes a handful of writes for hundreds of jobs", async () => {
        const world = createJobWorld(1);
        const submitted = Array.from({ length: 300 }, (_unused, index) =>
            world.nodes[0]!.jobs.submitJob(buildJobContext(world, `job-${index}`), buildChatRequest()),
        );
        const results = await runVirtualTime(world.clock, Promise.all(submitted));
        assert.ok(results.every(result => result.isOk()));
        assert.ok(world.store.counts.commits <= 10, `${world.store.counts.commits} transactions`);
        assert.ok(world.store.counts.objectWrites <= 10, `${world.store.counts.objectWrites} objects`);
    });

    it("gives the same job for the same key and refuses another body under it", async () => {
        const world = createJobWorld(1);
        const first = (await submit(world, "first", { idempotencyKey: "key" }))._unsafeUnwrap();
        const again = (await submit(world, "second", { idempotencyKey: "key" }))._unsafeUnwrap();
        assert.equal(again.jobId, first.jobId);
        assert.equal(countJobRows(world), 1);
        const reused = await submit(world, "third", { idempotencyKey: "key" }, 41);
        assert.equal(reused._unsafeUnwrapErr().kind, FailureKind.IdempotencyKeyReused);
    });
});

describe("an account's jobs", () => {
    it("are listed newest first, page by page, and hidden from other accounts", async () => {
        const world = createJobWorld(1);
        const ids: string[] = [];
        for (const name of ["a", "b", "c"]) {
            ids.unshift((await submit(world, name))._unsafeUnwrap().jobId);
            await waitMs(world, 10);
        }
        await submit(world, "other", { accountName: "other" });
        const { jobs } = world.nodes[0]!;
        const all = (await runVirtualTime(world.clock, jobs.listJobs("depot", { limit: 10 })))._unsafeUnwrap();
        assert.deepEqual(
            all.map(job => job.jobId),
            ids,
        );
        const rest = await runVirtualTime(world.clock, jobs.listJobs("depot", { limit: 10, after: ids[0] }));
        assert.equal(rest._unsafeUnwrap().length, 2);
        for (const [account, jobId] of [
            ["other", ids[0]!],
            ["depot", "../other"],
        ] as const) {
            const read = await runVirtualTime(world.clock, jobs.readJob(account, jobId));
            assert.equal(read._unsafeUnwrapErr().kind, FailureKind.NotFound);
        }
    });

    it("can be cancelled from another node, and stay cancelled", async () => {
        const world = createJobWorld(2, { tokenGapMs: 500 });
        const { jobId } = (await submit(world, "long", {}, 200))._unsafeUnwrap();
        await waitMs(world, 2_000);
        const cancelled = await runVirtualTime(world.clock, world.nodes[1]!.jobs.cancelJob("depot", jobId));
        assert.equal(cancelled._unsafeUnwrap().state, JobState.Cancelled);
        await waitMs(world, 10_000);
        assert.equal((await readAt(world, 0, jobId)).state, JobState.Cancelled);
        assert.equal((world.nodes[0]!.execution.dumpState() as { open: number }).open, 0);
    });

    it("fail visibly at their deadline", async () => {
        const world = createJobWorld(1, { endpoints: 0 });
        const deadlineAtMs = world.clock.readMonotonicMs() + 5_000;
        const { jobId } = (await submit(world, "late", { deadlineAtMs }))._unsafeUnwrap();
        const view = await waitForEnd(world, 0, jobId);
        assert.equal(view.state, JobState.Failed);
        assert.ok((view.endedAtWallMs ?? 0) <= view.deadlineWallMs + 1_000);
    });

    it("fail at their deadline also if the node that held them is lost", async () => {
        const world = createJobWorld(2, { endpoints: 0 });
        const deadlineAtMs = world.clock.readMonotonicMs() + 5_000;
        const { jobId } = (await submit(world, "late", { deadlineAtMs }))._unsafeUnwrap();
        world.nodes[0]!.kill();
        await waitMs(world, 6_500);
        const view = await readAt(world, 1, jobId);
        assert.equal(view.failure?.kind, FailureKind.DeadlineExceeded);
        assert.equal(view.failure?.execution, Execution.Unknown);
    });

    it("are removed with all that belongs to them after their retention", async () => {
        const world = createJobWorld(1);
        const { jobId } = (await submit(world, "old", { idempotencyKey: "key" }, 2_000))._unsafeUnwrap();
        await waitForEnd(world, 0, jobId);
        world.clock.advanceMs(JOB_RETENTION_MS + LONGEST_JOB_MS + 2 * 3_600_000);
        await waitMs(world, 10_000);
        const left = [...world.store.rows.keys()].filter(key => key.startsWith("jobs/"));
        assert.deepEqual(left, []);
        assert.deepEqual(world.store.objectKeys(), []);
    });
});

describe("a job whose node is lost", () => {
    it("is taken over and ends with its whole answer", async () => {
        const world = createJobWorld(3, { tokenGapMs: 200 });
        const { jobId } = (await submit(world, "survivor", {}, 100))._unsafeUnwrap();
        await waitMs(world, 1_000);
        world.nodes[0]!.kill();
        const view = await waitForEnd(world, 1, jobId);
        assert.equal(view.state, JobState.Succeeded);
        assert.match(view.answer?.text ?? "", /#0;/);
    });

    it("is handed on at once, with its tokens, by a node that shuts down", async () => {
        const world = createJobWorld(2, { tokenGapMs: 100 });
        const { jobId } = (await submit(world, "handed on", {}, 2_000))._unsafeUnwrap();
        await waitMs(world, 3_000);
        const startedMs = world.clock.readMonotonicMs();
        await runVirtualTime(world.clock, world.nodes[0]!.jobs.drain(1_000));
        for (let tries = 0; (await readAt(world, 1, jobId)).state === JobState.Queued && tries < 100; tries++) {
            await waitMs(world, 100);
        }
        assert.ok(world.clock.readMonotonicMs() - startedMs < 6_000, "taken within a poll or two");
        assert.ok(world.store.objectKeys().some(key => key.startsWith("jobs/checkpoints/")));
        const late = await submit(world, "refused");
        assert.equal(late._unsafeUnwrapErr().kind, FailureKind.ShuttingDown);
    });

    it("ends once even if the first node was only cut off from the store and goes on", async () => {
        const world = createJobWorld(2, { tokenGapMs: 1_000 });
        const { jobId } = (await submit(world, "cut off", {}, 120))._unsafeUnwrap();
        await waitMs(world, 1_000);
        world.nodes[0]!.setCutOff(true);
        const view = await waitForEnd(world, 1, jobId);
        assert.equal(view.state, JobState.Succeeded);
        world.nodes[0]!.setCutOff(false);
        await waitMs(world, 30_000);
        assert.deepEqual(await readAt(world, 1, jobId), view);
        assert.deepEqual((world.nodes[0]!.jobs.dumpState() as { running: string[] }).running, []);
    });

    it("is not run again if it may not be repeated, and fails as unknown", async () => {
        const world = createJobWorld(2, { tokenGapMs: 1_000 });
        const changes = {
            isIdempotent: false,
            idempotencyKey: "key",
            deadlineAtMs: world.clock.readMonotonicMs() + 120_000,
        };
        const { jobId } = (await submit(world, "once", changes, 200))._unsafeUnwrap();
        await waitMs(world, 1_000);
        const sentBefore = [...world.fleet.record.sent.values()].reduce((sum, sent) => sum + sent, 0);
        world.nodes[0]!.kill();
        const view = await waitForEnd(world, 1, jobId);
        assert.equal(view.state, JobState.Failed);
        assert.notEqual(view.failure?.execution, Execution.NotRun);
        const sentAfter = [...world.fleet.record.sent.values()].reduce((sum, sent) => sum + sent, 0);
        assert.equal(sentBefore, 1);
        assert.equal(sentAfter, 1);
    });

    it("needs a key if it may not be repeated", async () => {
        const world = createJobWorld(1);
        const failure = (await submit(world, "keyless", { isIdempotent: false }))._unsafeUnwrapErr();
        assert.equal(failure.kind, FailureKind.IdempotencyKeyRequired);
    });
});

describe("jobs through runner faults", () => {
    it("end with their whole answer", async () => {
        const drawStreamFault = (_requestId: string, attempt: number) =>
            attempt === 1 ? StreamFault.BrokenDuring : StreamFault.None;
        const world = createJobWorld(1, { drawStreamFault });
        const { jobId } = (await submit(world, "faulty"))._unsafeUnwrap();
        assert.equal((await waitForEnd(world, 0, jobId)).state, JobState.Succeeded);
    });
});
