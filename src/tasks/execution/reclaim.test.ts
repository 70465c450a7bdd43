import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FailureKind } from "../../base/failure";
import {
    assertAnswerHolds,
    assertNothingLeft,
    buildChat,
    buildContext,
    collectAnswer,
    createExecutionWorld,
    type ExecutionWorld,
} from "./_testing/createExecutionWorld";
import type { FakeFleetOptions } from "./_testing/createFakeFleet";
import { flushTasks, runVirtualTime } from "./_testing/runVirtualTime";

const MAXIMUM_TOKENS = 400;

/** Runs forty streams on four runners, two of which get a notice of `noticeMs` after half a second. */
const runWave = async (
    options: Partial<FakeFleetOptions>,
    noticeMs: number,
    during?: (world: ExecutionWorld) => void,
) => {
    const world = createExecutionWorld({ tokenGapMs: 30, ...options });
    const ended = Array.from({ length: 40 }, async (_unused, index) => {
        const context = buildContext(world, `stream-${index}`, { className: "digest" });
        const answer = await collectAnswer(world.execution.startChat(context, buildChat(MAXIMUM_TOKENS)));
        assertAnswerHolds(world, context, answer, MAXIMUM_TOKENS);
        return answer;
    });
    await runVirtualTime(world.clock, world.clock.waitMs(500));
    world.fleet.reclaimEndpoint(0, noticeMs);
    world.fleet.reclaimEndpoint(1, noticeMs);
    during?.(world);
    const answers = await runVirtualTime(world.clock, Promise.all(ended));
    await flushTasks();
    assertNothingLeft(world);
    assert.deepEqual(world.fleet.record.workToLeaving, [], "no new work went to a leaving endpoint");
    return { world, answers, counts: world.execution.readCounts() };
};

describe("streams whose runners are reclaimed", () => {
    it("all end whole, by moving their cache late and only if they have not ended by then", async () => {
        const { answers, counts } = await runWave({}, 4_000);
        assert.ok(answers.every(answer => answer.failure === undefined));
        assert.ok(counts.cacheMoves > 0);
        assert.equal(counts.recomputedTokens, 0);
        assert.equal(counts.extraAttempts, 0, "announced moves are no retries");
    });

    it("all end whole by prefill where engines can't export", async () => {
        const { answers, counts } = await runWave({ canTransfer: false }, 4_000);
        assert.ok(answers.every(answer => answer.failure === undefined));
        assert.ok(counts.prefillMoves > 0 && counts.recomputedTokens > 0);
    });

    it("all end whole when the notice is too short for anything", async () => {
        const { answers } = await runWave({}, 100);
        assert.ok(answers.every(answer => answer.failure === undefined));
    });

    it("all end whole when a leaving runner dies during the moves", async () => {
        const { answers } = await runWave({}, 4_000, world => {
            void world.clock.waitMs(3_000).then(() => world.fleet.failEndpoint(0, 600_000));
        });
        assert.ok(answers.every(answer => answer.failure === undefined));
    });

    it("all end whole when a surviving runner dies during the moves", async () => {
        const { answers } = await runWave({}, 4_000, world => {
            void world.clock.waitMs(3_000).then(() => world.fleet.failEndpoint(2, 1_000));
        });
        assert.ok(answers.filter(answer => answer.failure === undefined).length >= 38);
    });

    it("finish in place if they may not be executed twice", async () => {
        const world = createExecutionWorld({ endpoints: 1, tokenGapMs: 30 });
        const context = buildContext(world, "once", { isIdempotent: false, idempotencyKey: "key" });
        const ended = collectAnswer(world.execution.startChat(context, buildChat(MAXIMUM_TOKENS)));
        await runVirtualTime(world.clock, world.clock.waitMs(300));
        world.fleet.reclaimEndpoint(0, 60_000);
        const answer = await runVirtualTime(world.clock, ended);
        assert.equal(answer.failure, undefined);
        assert.equal(world.fleet.record.sent.get("once"), 1);
    });

    it("fail at once if no other runner can end them by their deadline", async () => {
        const world = createExecutionWorld({ tokenGapMs: 100 });
        const nowMs = world.clock.readMonotonicMs();
        const context = buildContext(world, "hopeless", { deadlineAtMs: nowMs + 3_000 });
        const ended = collectAnswer(world.execution.startChat(context, buildChat(2_000)));
        await runVirtualTime(world.clock, world.clock.waitMs(300));
        [0, 1, 2, 3].forEach(index => world.fleet.reclaimEndpoint(index, 1_000));
        const answer = await runVirtualTime(world.clock, ended);
        assert.equal(answer.failure?.kind, FailureKind.DeadlineExceeded);
        assert.ok(world.clock.readMonotonicMs() - nowMs < 1_000);
    });
});
