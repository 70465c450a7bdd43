import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FailureKind } from "../../base/failure";
import {
    assertAnswerInvariants,
    assertNothingPending,
    buildChatRequest,
    buildContext,
    collectAnswer,
    createExecutionHarness,
    type ExecutionHarness,
} from "./_testing/createExecutionHarness";
import type { FakeFleetOptions } from "./_testing/createFakeFleet";
import { flushTasks, runVirtualTime } from "./_testing/runVirtualTime";

const MAXIMUM_TOKENS = 400;

/** Runs forty streams on four runners, two of which receive a reclaim notice of `noticeMs` after half a second. */
const runReclaim = async (
    options: Partial<FakeFleetOptions>,
    noticeMs: number,
    injectFaults?: (harness: ExecutionHarness) => void,
) => {
    const harness = createExecutionHarness({ tokenGapMs: 30, ...options });
    const ended = Array.from({ length: 40 }, async (_unused, index) => {
        const context = buildContext(harness, `stream-${index}`, { className: "digest" });
        const answer = await collectAnswer(harness.execution.startChat(context, buildChatRequest(MAXIMUM_TOKENS)));
        assertAnswerInvariants(harness, context, answer, MAXIMUM_TOKENS);
        return answer;
    });
    await runVirtualTime(harness.clock, harness.clock.waitMs(500));
    harness.fleet.reclaimEndpoint(0, noticeMs);
    harness.fleet.reclaimEndpoint(1, noticeMs);
    injectFaults?.(harness);
    const answers = await runVirtualTime(harness.clock, Promise.all(ended));
    await flushTasks();
    assertNothingPending(harness);
    assert.deepEqual(harness.fleet.record.attemptsAtLeavingEndpoints, [], "no new attempt went to a leaving endpoint");
    return { harness, answers, counts: harness.execution.readCounts() };
};

describe("streams whose runners are reclaimed", () => {
    it("all complete; those that have not ended late in the notice period move with their KV cache", async () => {
        const { answers, counts } = await runReclaim({}, 4_000);
        assert.ok(answers.every(answer => answer.failure === undefined));
        assert.ok(counts.cacheMoves > 0);
        assert.equal(counts.recomputedTokens, 0);
        assert.equal(counts.extraAttempts, 0, "moves from leaving endpoints are not retries");
    });

    it("all complete by prefill where engines can't export KV cache", async () => {
        const { answers, counts } = await runReclaim({ canTransfer: false }, 4_000);
        assert.ok(answers.every(answer => answer.failure === undefined));
        assert.ok(counts.prefillMoves > 0 && counts.recomputedTokens > 0);
    });

    it("all complete when the notice is too short for any move", async () => {
        const { answers } = await runReclaim({}, 100);
        assert.ok(answers.every(answer => answer.failure === undefined));
    });

    it("all complete when a leaving runner fails during the moves", async () => {
        const { answers } = await runReclaim({}, 4_000, harness => {
            void harness.clock.waitMs(3_000).then(() => harness.fleet.failEndpoint(0, 600_000));
        });
        assert.ok(answers.every(answer => answer.failure === undefined));
    });

    it("nearly all complete when a surviving runner fails during the moves", async () => {
        const { answers } = await runReclaim({}, 4_000, harness => {
            void harness.clock.waitMs(3_000).then(() => harness.fleet.failEndpoint(2, 1_000));
        });
        assert.ok(answers.filter(answer => answer.failure === undefined).length >= 38);
    });

    it("finish in place if they may not be executed twice", async () => {
        const harness = createExecutionHarness({ endpoints: 1, tokenGapMs: 30 });
        const context = buildContext(harness, "once", { isIdempotent: false, idempotencyKey: "key" });
        const ended = collectAnswer(harness.execution.startChat(context, buildChatRequest(MAXIMUM_TOKENS)));
        await runVirtualTime(harness.clock, harness.clock.waitMs(300));
        harness.fleet.reclaimEndpoint(0, 60_000);
        const answer = await runVirtualTime(harness.clock, ended);
        assert.equal(answer.failure, undefined);
        assert.equal(harness.fleet.record.sent.get("once"), 1);
    });

    it("fail at once if no other runner can complete them by their deadline", async () => {
        const harness = createExecutionHarness({ tokenGapMs: 100 });
        const nowMs = harness.clock.readMonotonicMs();
        const context = buildContext(harness, "hopeless", { deadlineAtMs: nowMs + 3_000 });
        const ended = collectAnswer(harness.execution.startChat(context, buildChatRequest(2_000)));
        await runVirtualTime(harness.clock, harness.clock.waitMs(300));
        [0, 1, 2, 3].forEach(index => harness.fleet.reclaimEndpoint(index, 1_000));
        const answer = await runVirtualTime(harness.clock, ended);
        assert.equal(answer.failure?.kind, FailureKind.DeadlineExceeded);
        assert.ok(harness.clock.readMonotonicMs() - nowMs < 1_000);
    });
});
