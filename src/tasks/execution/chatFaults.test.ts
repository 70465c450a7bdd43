import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../base/createRandom";
import { Execution, FailureKind } from "../../base/failure";
import {
    assertAnswerHolds,
    assertNothingLeft,
    buildChat,
    buildContext,
    collectAnswer,
    createExecutionWorld,
} from "./_testing/createExecutionWorld";
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

/** Runs one request for each pair of faults of its first two attempts. */
const runPairs = async (isIdempotent: boolean) => {
    const drawStreamFault = (requestId: string, attempt: number) =>
        (requestId.split("+")[attempt - 1] ?? StreamFault.None) as StreamFault;
    const world = createExecutionWorld({ drawStreamFault });
    const pairs = FAULTS.flatMap(first => FAULTS.map(second => ({ first, second })));
    const ended = pairs.map(async pair => {
        const requestId = `${pair.first}+${pair.second}`;
        const context = buildContext(world, requestId, { isIdempotent, idempotencyKey: requestId });
        const answer = await collectAnswer(world.execution.startChat(context, buildChat()));
        assertAnswerHolds(world, context, answer);
        return { ...pair, answer };
    });
    const results = await runVirtualTime(world.clock, Promise.all(ended));
    await flushTasks();
    assertNothingLeft(world);
    return results;
};

describe("chat requests of idempotent classes", () => {
    it("get their whole answer through every fault of the first attempt and every one of the second", async () => {
        const results = await runPairs(true);
        assert.equal(results.length, FAULTS.length ** 2);
        for (const { first, second, answer } of results) {
            assert.equal(answer.failure, undefined, `${first} then ${second}: ${answer.failure?.message}`);
        }
    });
});

describe("chat requests of classes that are not idempotent", () => {
    it("are sent again only after a connection that was refused", async () => {
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

    it("need a key, and give the recorded answer when it is used again", async () => {
        const world = createExecutionWorld();
        const run = (requestId: string, idempotencyKey: string | undefined, maximumTokens = 40) => {
            const context = buildContext(world, requestId, { isIdempotent: false, idempotencyKey });
            const chat = world.execution.startChat(context, buildChat(maximumTokens));
            return runVirtualTime(world.clock, collectAnswer(chat));
        };
        assert.equal((await run("keyless", undefined)).failure?.kind, FailureKind.IdempotencyKeyRequired);
        const first = await run("first", "key");
        const again = await run("second", "key");
        assert.deepEqual(again.texts, first.texts);
        assert.equal(world.fleet.record.sent.size, 1);
        assert.equal((await run("third", "key", 41)).failure?.kind, FailureKind.IdempotencyKeyReused);
    });
});

describe("a silent connection", () => {
    it("is found within its bound and replaced, and the endpoint is probed on a new one", async () => {
        const drawStreamFault = (_requestId: string, attempt: number) =>
            attempt === 1 ? StreamFault.SilentDuring : StreamFault.None;
        const world = createExecutionWorld({ drawStreamFault, endpoints: 1 });
        const context = buildContext(world, "silent");
        const startedMs = world.clock.readMonotonicMs();
        const chat = world.execution.startChat(context, buildChat());
        const answer = await runVirtualTime(world.clock, collectAnswer(chat));
        assert.equal(answer.failure, undefined);
        assert.ok(world.clock.readMonotonicMs() - startedMs < 6_000, "found within the bound");
        assert.equal(world.fleet.record.probes, 1);
        assert.equal(world.execution.readCounts().silentConnections, 1);
    });
});

describe("a request that is cancelled while routing chooses", () => {
    it("gives the endpoint back", async () => {
        const world = createExecutionWorld({ routingMs: 100 });
        const chat = world.execution.startChat(buildContext(world, "cancelled"), buildChat());
        await runVirtualTime(world.clock, world.clock.waitMs(20));
        chat.cancel();
        await runVirtualTime(world.clock, world.clock.waitMs(200));
        assert.equal(world.fleet.record.attempts, 1);
        assertNothingLeft(world);
    });
});

describe("a late first token", () => {
    it("is hedged inside the budget, and the answer comes from one attempt alone", async () => {
        const drawStreamFault = (_requestId: string, attempt: number) =>
            attempt === 1 ? StreamFault.Slow : StreamFault.None;
        const world = createExecutionWorld({ drawStreamFault });
        const context = buildContext(world, "late");
        const answer = await runVirtualTime(
            world.clock,
            collectAnswer(world.execution.startChat(context, buildChat())),
        );
        assertAnswerHolds(world, context, answer);
        assert.equal(world.execution.readCounts().hedges, 1);
        assert.equal(world.execution.readCounts().extraAttempts, 1);
        assertNothingLeft(world);
    });
});

describe("a slow reader", () => {
    it("holds the stream up without being taken for a silent runner, and can still cancel", async () => {
        const world = createExecutionWorld();
        const context = buildContext(world, "slow reader");
        const chat = world.execution.startChat(context, buildChat(400));
        await runVirtualTime(world.clock, world.clock.waitMs(20_000));
        assert.equal(world.execution.readCounts().silentConnections, 0);
        chat.cancel();
        await flushTasks();
        assertNothingLeft(world);
    });
});

describe("a brown-out", () => {
    it("adds no more than a tenth of the requests as extra attempts", async () => {
        const random = createRandom(7);
        const drawStreamFault = () => (random.drawFraction() < 0.6 ? StreamFault.BrokenBefore : StreamFault.None);
        const world = createExecutionWorld({ drawStreamFault });
        const requests = 600;
        const ended = Array.from({ length: requests }, async (_unused, index) => {
            const context = buildContext(world, `request-${index}`, { className: "digest" });
            const answer = await collectAnswer(world.execution.startChat(context, buildChat(10)));
            assertAnswerHolds(world, context, answer, 10);
            return answer;
        });
        const answers = await runVirtualTime(world.clock, Promise.all(ended));
        const extra = world.fleet.record.attempts - requests;
        assert.ok(extra > 0 && extra <= requests * 0.1, `${extra} extra attempts`);
        assert.ok(answers.some(answer => answer.failure !== undefined));
        assertNothingLeft(world);
    });
});

describe("shutdown", () => {
    it("refuses new requests and lets those in progress end", async () => {
        const world = createExecutionWorld();
        const chat = world.execution.startChat(buildContext(world, "early"), buildChat(200));
        await runVirtualTime(world.clock, world.clock.waitMs(50));
        const drained = world.execution.drain(30_000);
        const late = world.execution.startChat(buildContext(world, "late"), buildChat());
        const answers = await runVirtualTime(world.clock, Promise.all([collectAnswer(chat), collectAnswer(late)]));
        assert.equal(answers[0].failure, undefined);
        assert.equal(answers[1].failure?.kind, FailureKind.ShuttingDown);
        assert.equal(answers[1].failure?.execution, Execution.NotRun);
        assert.deepEqual(await runVirtualTime(world.clock, drained), { cut: 0 });
    });

    it("ends what still runs at its bound visibly", async () => {
        const world = createExecutionWorld({ drawStreamFault: () => StreamFault.SilentBefore });
        const chat = collectAnswer(world.execution.startChat(buildContext(world, "stuck"), buildChat()));
        await runVirtualTime(world.clock, world.clock.waitMs(50));
        assert.deepEqual(await runVirtualTime(world.clock, world.execution.drain(1_000)), { cut: 1 });
        assert.equal((await runVirtualTime(world.clock, chat)).failure?.kind, FailureKind.ShuttingDown);
        await flushTasks();
        assertNothingLeft(world);
    });
});
