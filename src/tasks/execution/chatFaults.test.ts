import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err } from "neverthrow";
import { createRandom } from "../../base/createRandom";
import { createFailure } from "../../base/createFailure";
import { Execution, FailureKind } from "../../base/failure";
import {
    assertAnswerInvariants,
    assertNothingPending,
    buildChatRequest,
    buildContext,
    collectAnswer,
    createExecutionHarness,
} from "./_testing/createExecutionHarness";
import { StreamFault } from "./_testing/faults";
import { flushTasks, runVirtualTime } from "./_testing/runVirtualTime";

const FAULTS = Object.values(StreamFault);
const HARMLESS: ReadonlySet<StreamFault> = new Set([
    StreamFault.None,
    StreamFault.Repeated,
    StreamFault.Overlap,
    StreamFault.Foreign,
    StreamFault.Late,
    StreamFault.Slow,
]);

/** Runs one request for each pair of faults in its first two attempts. */
const runPairs = async (isIdempotent: boolean) => {
    const drawStreamFault = (requestId: string, attempt: number) =>
        (requestId.split("+")[attempt - 1] ?? StreamFault.None) as StreamFault;
    const harness = createExecutionHarness({ drawStreamFault });
    const pairs = FAULTS.flatMap(first => FAULTS.map(second => ({ first, second })));
    const ended = pairs.map(async pair => {
        const requestId = `${pair.first}+${pair.second}`;
        const context = buildContext(harness, requestId, { isIdempotent, idempotencyKey: requestId });
        const answer = await collectAnswer(harness.execution.startChat(context, buildChatRequest()));
        assertAnswerInvariants(harness, context, answer);
        return { ...pair, answer };
    });
    const results = await runVirtualTime(harness.clock, Promise.all(ended));
    await flushTasks();
    assertNothingPending(harness);
    return results;
};

describe("chat requests of idempotent classes", () => {
    it("get their whole answer under every pair of faults of the first two attempts", async () => {
        const results = await runPairs(true);
        assert.equal(results.length, FAULTS.length ** 2);
        for (const { first, second, answer } of results) {
            assert.equal(answer.failure, undefined, `${first} then ${second}: ${answer.failure?.message}`);
        }
    });
});

describe("chat requests of classes that are not idempotent", () => {
    it("are sent again only after a refused connection", async () => {
        for (const { first, second, answer } of await runPairs(false)) {
            const deciding = first === StreamFault.Refused ? second : first;
            const isAnswered = HARMLESS.has(deciding) || (first === second && first === StreamFault.Refused);
            assert.equal(answer.failure === undefined, isAnswered, `${first} then ${second}`);
            if (answer.failure !== undefined) {
                assert.equal(answer.failure.kind, FailureKind.OutcomeUnknown, `${first} then ${second}`);
                assert.notEqual(answer.failure.execution, Execution.NotRun);
            }
        }
    });

    it("need an idempotency key, and return the recorded answer when it is used again", async () => {
        const harness = createExecutionHarness();
        const run = (requestId: string, idempotencyKey: string | undefined, maximumTokens = 40) => {
            const context = buildContext(harness, requestId, { isIdempotent: false, idempotencyKey });
            const chat = harness.execution.startChat(context, buildChatRequest(maximumTokens));
            return runVirtualTime(harness.clock, collectAnswer(chat));
        };
        assert.equal((await run("keyless", undefined)).failure?.kind, FailureKind.IdempotencyKeyRequired);
        const first = await run("first", "key");
        const again = await run("second", "key");
        assert.deepEqual(again.texts, first.texts);
        assert.equal(harness.fleet.record.sent.size, 1);
        assert.equal((await run("third", "key", 41)).failure?.kind, FailureKind.IdempotencyKeyReused);
    });
});

describe("a silent connection", () => {
    it("is replaced within its idle timeout, and the endpoint is probed on a new connection", async () => {
        const drawStreamFault = (_requestId: string, attempt: number) =>
            attempt === 1 ? StreamFault.SilentDuring : StreamFault.None;
        const harness = createExecutionHarness({ drawStreamFault, endpoints: 1 });
        const context = buildContext(harness, "silent");
        const startedMs = harness.clock.readMonotonicMs();
        const chat = harness.execution.startChat(context, buildChatRequest());
        const answer = await runVirtualTime(harness.clock, collectAnswer(chat));
        assert.equal(answer.failure, undefined);
        assert.ok(harness.clock.readMonotonicMs() - startedMs < 6_000, "found within the idle timeout");
        assert.equal(harness.fleet.record.probes, 1);
        assert.equal(harness.execution.readCounts().silentConnections, 1);
    });
});

describe("a request that is cancelled while its route is being chosen", () => {
    it("leaves no attempt open at routing", async () => {
        const harness = createExecutionHarness({ routingMs: 100 });
        const chat = harness.execution.startChat(buildContext(harness, "cancelled"), buildChatRequest());
        await runVirtualTime(harness.clock, harness.clock.waitMs(20));
        chat.cancel();
        await runVirtualTime(harness.clock, harness.clock.waitMs(200));
        assert.equal(harness.fleet.record.attempts, 1);
        assertNothingPending(harness);
    });
});

describe("a late first token", () => {
    it("is hedged within the retry budget, and the answer comes from one attempt only", async () => {
        const drawStreamFault = (_requestId: string, attempt: number) =>
            attempt === 1 ? StreamFault.Slow : StreamFault.None;
        const harness = createExecutionHarness({ drawStreamFault });
        const context = buildContext(harness, "late");
        const answer = await runVirtualTime(
            harness.clock,
            collectAnswer(harness.execution.startChat(context, buildChatRequest())),
        );
        assertAnswerInvariants(harness, context, answer);
        assert.equal(harness.execution.readCounts().hedges, 1);
        assert.equal(harness.execution.readCounts().extraAttempts, 1);
        assertNothingPending(harness);
    });
});

describe("a slow reader", () => {
    it("pauses the stream without being mistaken for a silent runner, and can still cancel", async () => {
        const harness = createExecutionHarness();
        const context = buildContext(harness, "slow reader");
        const chat = harness.execution.startChat(context, buildChatRequest(400));
        await runVirtualTime(harness.clock, harness.clock.waitMs(20_000));
        assert.equal(harness.execution.readCounts().silentConnections, 0);
        chat.cancel();
        await flushTasks();
        assertNothingPending(harness);
    });
});

describe("a high failure rate", () => {
    it("causes extra attempts for at most a tenth of the requests", async () => {
        const random = createRandom(7);
        const drawStreamFault = () => (random.drawFraction() < 0.6 ? StreamFault.BrokenBefore : StreamFault.None);
        const harness = createExecutionHarness({ drawStreamFault });
        const requests = 600;
        const ended = Array.from({ length: requests }, async (_unused, index) => {
            const context = buildContext(harness, `request-${index}`, { className: "digest" });
            const answer = await collectAnswer(harness.execution.startChat(context, buildChatRequest(10)));
            assertAnswerInvariants(harness, context, answer, 10);
            return answer;
        });
        const answers = await runVirtualTime(harness.clock, Promise.all(ended));
        const extra = harness.fleet.record.attempts - requests;
        assert.ok(extra > 0 && extra <= requests * 0.1, `${extra} extra attempts`);
        assert.ok(answers.some(answer => answer.failure !== undefined));
        assertNothingPending(harness);
    });
});

describe("shutdown", () => {
    it("refuses new requests and lets those in progress finish", async () => {
        const harness = createExecutionHarness();
        const chat = harness.execution.startChat(buildContext(harness, "early"), buildChatRequest(200));
        await runVirtualTime(harness.clock, harness.clock.waitMs(50));
        const drained = harness.execution.drain(30_000);
        const late = harness.execution.startChat(buildContext(harness, "late"), buildChatRequest());
        const answers = await runVirtualTime(harness.clock, Promise.all([collectAnswer(chat), collectAnswer(late)]));
        assert.equal(answers[0].failure, undefined);
        assert.equal(answers[1].failure?.kind, FailureKind.ShuttingDown);
        assert.equal(answers[1].failure?.execution, Execution.NotRun);
        assert.deepEqual(await runVirtualTime(harness.clock, drained), { cut: 0 });
    });

    // Guards against a planned stop that tells callers that they had cancelled.
    it("ends requests that wait for admission as shutting down and not run", async () => {
        const harness = createExecutionHarness();
        let refuse: (() => void) | undefined;
        Object.assign(harness.fleet.admission, {
            requestAdmission: () =>
                new Promise(resolve => {
                    const failure = createFailure(FailureKind.Cancelled, "The request was cancelled.");
                    refuse = () => resolve(err(failure));
                }),
            cancelAdmission: () => refuse?.(),
        });
        const chat = collectAnswer(harness.execution.startChat(buildContext(harness, "waits"), buildChatRequest()));
        await runVirtualTime(harness.clock, harness.clock.waitMs(50));
        assert.deepEqual(await runVirtualTime(harness.clock, harness.execution.drain(1_000)), { cut: 1 });
        const { failure } = await runVirtualTime(harness.clock, chat);
        assert.equal(failure?.kind, FailureKind.ShuttingDown);
        assert.equal(failure?.execution, Execution.NotRun);
    });

    it("ends requests that still run at its timeout with a failure", async () => {
        const harness = createExecutionHarness({ drawStreamFault: () => StreamFault.SilentBefore });
        const chat = collectAnswer(harness.execution.startChat(buildContext(harness, "stuck"), buildChatRequest()));
        await runVirtualTime(harness.clock, harness.clock.waitMs(50));
        assert.deepEqual(await runVirtualTime(harness.clock, harness.execution.drain(1_000)), { cut: 1 });
        assert.equal((await runVirtualTime(harness.clock, chat)).failure?.kind, FailureKind.ShuttingDown);
        await flushTasks();
        assertNothingPending(harness);
    });
});
