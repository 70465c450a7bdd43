import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom, type Random } from "../../base/createRandom";
import { Execution, FailureKind } from "../../base/failure";
import { buildChatRequest } from "../execution/_testing/createExecutionHarness";
import { StoreFault } from "../execution/_testing/createFakeStore";
import { StreamFault } from "../execution/_testing/faults";
import { flushTasks } from "../execution/_testing/runVirtualTime";
import { buildJobContext, createJobWorld, type JobWorld } from "./_testing/createJobWorld";
import { JobState, type JobView } from "./jobClient";

// Seeds 1 to RANDOM_JOB_WORLDS (default 6); each world has 60 jobs on five nodes of which three are lost or cut off.
const WORLDS = Number(process.env["RANDOM_JOB_WORLDS"] ?? 6);
const JOBS = 60;
const NODES = 5;
const STEP_MS = 25;

const drawFrom = <T>(random: Random, share: number, values: readonly T[], usual: T): T =>
    random.drawFraction() < share ? (values[random.drawInteger(0, values.length - 1)] as T) : usual;

const runFor = async <T>(world: JobWorld, promise: Promise<T>): Promise<T> => {
    let isSettled = false;
    const settled = promise.finally(() => (isSettled = true));
    for (let steps = 0; !isSettled && steps < 20_000; steps++) {
        world.clock.advanceMs(STEP_MS);
        await flushTasks();
    }
    assert.ok(isSettled, "settled in virtual time");
    return settled;
};

const loseNodes = async (world: JobWorld, random: Random) => {
    for (const node of [0, 1, 2]) {
        await world.clock.waitMs(random.drawInteger(200, 4_000));
        const victim = world.nodes[node]!;
        if (random.drawFraction() < 0.5) {
            victim.kill();
        } else {
            victim.setCutOff(true);
            void world.clock.waitMs(random.drawInteger(1_000, 60_000)).then(() => victim.setCutOff(false));
        }
    }
};

const runWorld = async (seed: number) => {
    const random = createRandom(seed);
    const storeShare = random.drawFraction() * 0.2;
    let isFaulty = true;
    const world = createJobWorld(
        NODES,
        { drawStreamFault: () => drawFrom(random, 0.2, Object.values(StreamFault), StreamFault.None), tokenGapMs: 100 },
        { drawFault: () => drawFrom(random, isFaulty ? storeShare : 0, Object.values(StoreFault), StoreFault.None) },
        seed,
    );
    void loseNodes(world, random);
    const accepted: JobView[] = [];
    for (let index = 0; index < JOBS; index++) {
        const node = world.nodes[random.drawInteger(0, NODES - 1)]!;
        const isIdempotent = random.drawFraction() < 0.7;
        const context = buildJobContext(world, `job-${seed}-${index}`, {
            isIdempotent,
            idempotencyKey: isIdempotent ? undefined : `key-${index}`,
            deadlineAtMs: world.clock.readMonotonicMs() + random.drawInteger(20_000, 240_000),
        });
        void node.jobs
            .submitJob(context, buildChatRequest(80, `${isIdempotent ? "repeat" : "once"} ${index}`))
            .then(result => {
                if (result.isOk()) {
                    accepted.push(result.value);
                }
            });
        await runFor(world, world.clock.waitMs(random.drawInteger(0, 200)));
    }
    await runFor(world, world.clock.waitMs(60_000));
    isFaulty = false;
    await runFor(world, world.clock.waitMs(200_000));
    const reader = world.nodes[NODES - 1]!.jobs;
    const read = await runFor(world, Promise.all(accepted.map(({ jobId }) => reader.readJob("depot", jobId))));
    await runFor(world, world.clock.waitMs(30_000));
    const again = await runFor(world, Promise.all(accepted.map(({ jobId }) => reader.readJob("depot", jobId))));
    assert.deepEqual(again, read, "an end never changes");
    return { world, views: read.map(view => view._unsafeUnwrap()) };
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
            "the answer is whole and in order",
        );
    } else {
        const isVisible = [FailureKind.DeadlineExceeded, FailureKind.OutcomeUnknown].includes(view.failure!.kind);
        assert.ok(isVisible || view.failure?.execution !== Execution.Ran, view.failure?.kind);
    }
};

describe("random runs of jobs", () => {
    it(`end every accepted job once over ${WORLDS} worlds of ${JOBS} jobs, through lost nodes and store faults`, async context => {
        const total = { succeeded: 0, failed: 0, taken: 0 };
        for (let seed = 1; seed <= WORLDS; seed++) {
            const { world, views } = await runWorld(seed);
            views.forEach(checkView);
            const once = [...world.fleet.record.sentPrompts].filter(([prompt]) => prompt.startsWith("once"));
            assert.ok(once.length > 0);
            once.forEach(([prompt, sent]) => assert.equal(sent, 1, `${prompt} was sent ${sent} times`));
            total.succeeded += views.filter(view => view.state === JobState.Succeeded).length;
            total.failed += views.filter(view => view.state === JobState.Failed).length;
            total.taken += world.nodes.reduce(
                (sum, { jobs }) => sum + (jobs.dumpState() as { taken: number }).taken,
                0,
            );
            const broken = world.events.filter(event => event.includes("task failed"));
            assert.deepEqual(broken, []);
        }
        context.diagnostic(JSON.stringify(total));
        assert.ok(total.succeeded > total.failed && total.taken > 0);
    });
});
