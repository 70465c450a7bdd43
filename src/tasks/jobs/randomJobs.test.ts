import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom, type Random } from "../../base/createRandom";
import { Execution, FailureKind } from "../../base/failure";
import { buildChat } from "../execution/_testing/createExecutionWorld";
import { StoreFault } from "../execution/_testing/createFakeStore";
import { StreamFault } from "../execution/_testing/faults";
import { flushTasks } from "../execution/_testing/runVirtualTime";
import { buildJobContext, createJobCluster, type JobCluster } from "./_testing/createJobCluster";
import { JobState, type JobView } from "./jobClient";

// Runs seeds 1 to RANDOM_JOB_WORLDS (default 6). Each run submits 60 jobs to five nodes, three of which are killed or
// temporarily partitioned from the store.
const RUNS = Number(process.env["RANDOM_JOB_WORLDS"] ?? 6);
const JOBS = 60;
const NODES = 5;
const STEP_MS = 25;

/** Draws one of `values` with the given probability, and `usual` otherwise. */
const drawFrom = <T>(random: Random, share: number, values: readonly T[], usual: T): T =>
    random.drawFraction() < share ? (values[random.drawInteger(0, values.length - 1)] as T) : usual;

const runFor = async <T>(cluster: JobCluster, promise: Promise<T>): Promise<T> => {
    let isSettled = false;
    const settled = promise.finally(() => (isSettled = true));
    for (let steps = 0; !isSettled && steps < 20_000; steps++) {
        cluster.clock.advanceMs(STEP_MS);
        await flushTasks();
    }
    assert.ok(isSettled, "the promise settles within 20,000 steps of virtual time");
    return settled;
};

const loseNodes = async (cluster: JobCluster, random: Random) => {
    for (const node of [0, 1, 2]) {
        await cluster.clock.waitMs(random.drawInteger(200, 4_000));
        const victim = cluster.nodes[node]!;
        if (random.drawFraction() < 0.5) {
            victim.kill();
        } else {
            victim.setPartitioned(true);
            void cluster.clock.waitMs(random.drawInteger(1_000, 60_000)).then(() => victim.setPartitioned(false));
        }
    }
};

const runCluster = async (seed: number) => {
    const random = createRandom(seed);
    const storeShare = random.drawFraction() * 0.2;
    let isFaulty = true;
    const cluster = createJobCluster(
        NODES,
        { drawStreamFault: () => drawFrom(random, 0.2, Object.values(StreamFault), StreamFault.None), tokenGapMs: 100 },
        { drawFault: () => drawFrom(random, isFaulty ? storeShare : 0, Object.values(StoreFault), StoreFault.None) },
        seed,
    );
    void loseNodes(cluster, random);
    const accepted: JobView[] = [];
    for (let index = 0; index < JOBS; index++) {
        const node = cluster.nodes[random.drawInteger(0, NODES - 1)]!;
        const isIdempotent = random.drawFraction() < 0.7;
        const context = buildJobContext(cluster, `job-${seed}-${index}`, {
            isIdempotent,
            idempotencyKey: isIdempotent ? undefined : `key-${index}`,
            deadlineAtMs: cluster.clock.readMonotonicMs() + random.drawInteger(20_000, 240_000),
        });
        void node.jobs
            .submitJob(context, buildChat(80, `${isIdempotent ? "repeat" : "once"} ${index}`))
            .then(result => {
                if (result.isOk()) {
                    accepted.push(result.value);
                }
            });
        await runFor(cluster, cluster.clock.waitMs(random.drawInteger(0, 200)));
    }
    await runFor(cluster, cluster.clock.waitMs(60_000));
    isFaulty = false;
    await runFor(cluster, cluster.clock.waitMs(200_000));
    const reader = cluster.nodes[NODES - 1]!.jobs;
    const read = await runFor(cluster, Promise.all(accepted.map(({ jobId }) => reader.readJob("depot", jobId))));
    await runFor(cluster, cluster.clock.waitMs(30_000));
    const again = await runFor(cluster, Promise.all(accepted.map(({ jobId }) => reader.readJob("depot", jobId))));
    assert.deepEqual(again, read, "a recorded final state never changes");
    return { cluster, views: read.map(view => view._unsafeUnwrap()) };
};

const checkView = (view: JobView) => {
    assert.ok([JobState.Succeeded, JobState.Failed].includes(view.state), `${view.jobId} is ${view.state}`);
    if (view.state === JobState.Succeeded) {
        const numbers = (view.answer?.text ?? "")
            .split(";")
            .slice(0, -1)
            .map(text => Number(text.split("#")[1]));
        assert.deepEqual(
            numbers,
            numbers.map((_number, index) => index),
            "the tokens of the answer are numbered consecutively from 0",
        );
    } else {
        const isVisible = [FailureKind.DeadlineExceeded, FailureKind.OutcomeUnknown].includes(view.failure!.kind);
        assert.ok(isVisible || view.failure?.execution !== Execution.Ran, view.failure?.kind);
    }
};

describe("jobs with random faults", () => {
    it(`end every accepted job once in ${RUNS} runs of ${JOBS} jobs with lost nodes, store faults and stream faults`, async context => {
        const total = { succeeded: 0, failed: 0, taken: 0 };
        for (let seed = 1; seed <= RUNS; seed++) {
            const { cluster, views } = await runCluster(seed);
            views.forEach(checkView);
            const once = [...cluster.fleet.record.sentPrompts].filter(([prompt]) => prompt.startsWith("once"));
            assert.ok(once.length > 0);
            once.forEach(([prompt, sent]) => assert.equal(sent, 1, `${prompt} was sent ${sent} times`));
            total.succeeded += views.filter(view => view.state === JobState.Succeeded).length;
            total.failed += views.filter(view => view.state === JobState.Failed).length;
            total.taken += cluster.nodes.reduce(
                (sum, { jobs }) => sum + (jobs.dumpState() as { taken: number }).taken,
                0,
            );
            const broken = cluster.events.filter(event => event.includes("task failed"));
            assert.deepEqual(broken, []);
        }
        context.diagnostic(JSON.stringify(total));
        assert.ok(total.succeeded > total.failed && total.taken > 0);
    });
});
