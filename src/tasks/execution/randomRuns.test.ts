import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom, type Random } from "../../base/createRandom";
import {
    assertAnswerHolds,
    assertNothingLeft,
    buildChat,
    buildContext,
    collectAnswer,
    createExecutionWorld,
    type ExecutionWorld,
} from "./_testing/createExecutionWorld";
import { StoreFault } from "./_testing/createFakeStore";
import { StreamFault } from "./_testing/faults";
import { flushTasks, runVirtualTime } from "./_testing/runVirtualTime";

// Seeds 1 to RANDOM_WORLDS (default 14); each world has 150 requests and endpoints that fail, leave and come back.
const WORLDS = Number(process.env["RANDOM_WORLDS"] ?? 14);
const REQUESTS = 150;
const ENDPOINTS = 6;

const drawFrom = <T>(random: Random, share: number, values: readonly T[], usual: T): T =>
    random.drawFraction() < share ? (values[random.drawInteger(0, values.length - 1)] as T) : usual;

const failEndpoints = async (world: ExecutionWorld, random: Random) => {
    for (let event = 0; event < 6; event++) {
        await world.clock.waitMs(random.drawInteger(100, 900));
        if (random.drawFraction() < 0.5) {
            world.fleet.failEndpoint(random.drawInteger(0, ENDPOINTS - 1), random.drawInteger(50, 2_000));
        } else if (event < 3) {
            world.fleet.reclaimEndpoint(event, random.drawInteger(200, 3_000));
        }
    }
};

const runWorld = async (seed: number) => {
    const random = createRandom(seed);
    const streamShare = random.drawFraction() * 0.5;
    const storeShare = random.drawFraction() * 0.3;
    const world = createExecutionWorld(
        {
            endpoints: ENDPOINTS,
            canTransfer: random.drawFraction() < 0.7,
            drawStreamFault: () => drawFrom(random, streamShare, Object.values(StreamFault), StreamFault.None),
        },
        { drawFault: () => drawFrom(random, storeShare, Object.values(StoreFault), StoreFault.None) },
    );
    void failEndpoints(world, random);
    const ended = Array.from({ length: REQUESTS }, async (_unused, index) => {
        await world.clock.waitMs(random.drawInteger(0, 3_000));
        const isIdempotent = random.drawFraction() < 0.7;
        const context = buildContext(world, `${seed}-${index}`, {
            className: isIdempotent ? "digest" : "posting",
            isIdempotent,
            idempotencyKey: isIdempotent ? undefined : `key-${index}`,
            deadlineAtMs: world.clock.readMonotonicMs() + random.drawInteger(1_000, 20_000),
        });
        const maximumTokens = random.drawInteger(1, 120);
        const chat = world.execution.startChat(context, buildChat(maximumTokens));
        if (random.drawFraction() < 0.05) {
            void world.clock.waitMs(random.drawInteger(1, 1_000)).then(() => chat.cancel());
        }
        const answer = await collectAnswer(chat).catch((error: unknown) => {
            assert.match(String(error), /after a last event only/);
            return undefined;
        });
        if (answer !== undefined) {
            assertAnswerHolds(world, context, answer, maximumTokens);
        }
        return answer;
    });
    const answers = await runVirtualTime(world.clock, Promise.all(ended));
    await runVirtualTime(world.clock, world.clock.waitMs(1_000));
    await flushTasks();
    assertNothingLeft(world);
    assert.ok(!world.events.includes("chat task failed"), `seed ${seed}: a task broke down`);
    return { answers, counts: world.execution.readCounts() };
};

describe("random runs", () => {
    it(`hold every invariant over ${WORLDS} worlds of ${REQUESTS} requests`, async context => {
        const total = { answered: 0, failed: 0, resumes: 0, moves: 0, dropped: 0 };
        for (let seed = 1; seed <= WORLDS; seed++) {
            const { answers, counts } = await runWorld(seed);
            total.answered += answers.filter(answer => answer !== undefined && answer.failure === undefined).length;
            total.failed += answers.filter(answer => answer?.failure !== undefined).length;
            total.resumes += counts.resumes;
            total.moves += counts.cacheMoves + counts.prefillMoves;
            total.dropped += counts.droppedEvents;
        }
        context.diagnostic(JSON.stringify(total));
        assert.ok(total.answered > total.failed, "most requests are answered");
        assert.ok(total.resumes > 0 && total.moves > 0 && total.dropped > 0, "the runs meet what they are for");
    });
});
