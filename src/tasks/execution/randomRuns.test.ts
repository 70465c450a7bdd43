import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom, type Random } from "../../base/createRandom";
import {
    assertAnswerInvariants,
    assertNothingPending,
    buildChatRequest,
    buildContext,
    collectAnswer,
    createExecutionHarness,
    type ExecutionHarness,
} from "./_testing/createExecutionHarness";
import { StoreFault } from "./_testing/createFakeStore";
import { StreamFault } from "./_testing/faults";
import { flushTasks, runVirtualTime } from "./_testing/runVirtualTime";

// Runs seeds 1 to RANDOM_WORLDS (default 14), each with 150 requests while endpoints fail, restart and are reclaimed.
const SEED_COUNT = Number(process.env["RANDOM_WORLDS"] ?? 14);
const REQUESTS = 150;
const ENDPOINTS = 6;

const drawFrom = <T>(random: Random, share: number, values: readonly T[], fallback: T): T =>
    random.drawFraction() < share ? (values[random.drawInteger(0, values.length - 1)] as T) : fallback;

const failEndpoints = async (harness: ExecutionHarness, random: Random) => {
    for (let event = 0; event < 6; event++) {
        await harness.clock.waitMs(random.drawInteger(100, 900));
        if (random.drawFraction() < 0.5) {
            harness.fleet.failEndpoint(random.drawInteger(0, ENDPOINTS - 1), random.drawInteger(50, 2_000));
        } else if (event < 3) {
            harness.fleet.reclaimEndpoint(event, random.drawInteger(200, 3_000));
        }
    }
};

const runSeed = async (seed: number) => {
    const random = createRandom(seed);
    const streamShare = random.drawFraction() * 0.5;
    const storeShare = random.drawFraction() * 0.3;
    const harness = createExecutionHarness(
        {
            endpoints: ENDPOINTS,
            canTransfer: random.drawFraction() < 0.7,
            drawStreamFault: () => drawFrom(random, streamShare, Object.values(StreamFault), StreamFault.None),
        },
        { drawFault: () => drawFrom(random, storeShare, Object.values(StoreFault), StoreFault.None) },
    );
    void failEndpoints(harness, random);
    const ended = Array.from({ length: REQUESTS }, async (_unused, index) => {
        await harness.clock.waitMs(random.drawInteger(0, 3_000));
        const isIdempotent = random.drawFraction() < 0.7;
        const context = buildContext(harness, `${seed}-${index}`, {
            className: isIdempotent ? "digest" : "posting",
            isIdempotent,
            idempotencyKey: isIdempotent ? undefined : `key-${index}`,
            deadlineAtMs: harness.clock.readMonotonicMs() + random.drawInteger(1_000, 20_000),
        });
        const maximumTokens = random.drawInteger(1, 120);
        const chat = harness.execution.startChat(context, buildChatRequest(maximumTokens));
        if (random.drawFraction() < 0.05) {
            void harness.clock.waitMs(random.drawInteger(1, 1_000)).then(() => chat.cancel());
        }
        const answer = await collectAnswer(chat).catch((error: unknown) => {
            assert.match(String(error), /after a last event only/);
            return undefined;
        });
        if (answer !== undefined) {
            assertAnswerInvariants(harness, context, answer, maximumTokens);
        }
        return answer;
    });
    const answers = await runVirtualTime(harness.clock, Promise.all(ended));
    await runVirtualTime(harness.clock, harness.clock.waitMs(1_000));
    await flushTasks();
    assertNothingPending(harness);
    assert.ok(!harness.events.includes("chat task failed"), `seed ${seed}: a task failed`);
    return { answers, counts: harness.execution.readCounts() };
};

describe("requests under random faults", () => {
    it(`keep every invariant over ${SEED_COUNT} seeds with ${REQUESTS} requests each`, async context => {
        const total = { answered: 0, failed: 0, resumes: 0, moves: 0, dropped: 0 };
        for (let seed = 1; seed <= SEED_COUNT; seed++) {
            const { answers, counts } = await runSeed(seed);
            total.answered += answers.filter(answer => answer !== undefined && answer.failure === undefined).length;
            total.failed += answers.filter(answer => answer?.failure !== undefined).length;
            total.resumes += counts.resumes;
            total.moves += counts.cacheMoves + counts.prefillMoves;
            total.dropped += counts.droppedEvents;
        }
        context.diagnostic(JSON.stringify(total));
        assert.ok(total.answered > total.failed, "most requests are answered");
        assert.ok(
            total.resumes > 0 && total.moves > 0 && total.dropped > 0,
            "the runs include resumptions, moves and dropped events",
        );
    });
});
