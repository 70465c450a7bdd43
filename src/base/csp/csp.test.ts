import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runClock } from "../../nodes/_testing/runClock";
import { createManualClock } from "../createManualClock";
import { FailureKind } from "../failure";
import {
    closeChannel,
    createChannel,
    createTimeout,
    createTimer,
    offerMessage,
    Overflow,
    pollMessage,
    put,
    receiveMessage,
    selectMessage,
    sendMessage,
    startTask,
    superviseTask,
    take,
    takeBatch,
    waitFor,
} from "./index";

describe("channels", () => {
    it("deliver messages in order, and undefined once closed and empty", async () => {
        const numbers = createChannel<number>(2);
        const taken: (number | undefined)[] = [];
        startTask("producer", function* () {
            for (const number of [1, 2, 3]) {
                yield* put(numbers, number);
            }
            closeChannel(numbers);
        });
        await startTask("consumer", function* () {
            for (let index = 0; index < 4; index++) {
                taken.push(yield* take(numbers));
            }
        }).ended;
        assert.deepEqual(taken, [1, 2, 3, undefined]);
    });

    it("refuse an offer when full or closed", () => {
        const channel = createChannel<number>(1);
        assert.equal(offerMessage(channel, 1), true);
        assert.equal(offerMessage(channel, 2), false);
        assert.equal(pollMessage(channel), 1);
        closeChannel(channel);
        assert.equal(offerMessage(channel, 3), false);
        assert.equal(pollMessage(channel), undefined);
    });

    it("drop the oldest message when full with DropOldest", () => {
        const channel = createChannel<number>(1, { overflow: Overflow.DropOldest });
        offerMessage(channel, 1);
        offerMessage(channel, 2);
        assert.equal(pollMessage(channel), 2);
    });

    it("can be used outside tasks by sendMessage and receiveMessage", async () => {
        const channel = createChannel<string>();
        const received = receiveMessage(channel);
        assert.equal(await sendMessage(channel, "hello"), true);
        assert.equal(await received, "hello");
    });
});

describe("takeBatch", () => {
    it("returns up to 256 queued messages in order, and undefined once closed", async () => {
        const channel = createChannel<number>(512);
        const batches: (readonly number[] | undefined)[] = [];
        for (let index = 0; index < 300; index++) {
            offerMessage(channel, index);
        }
        await startTask("consumer", function* () {
            batches.push(yield* takeBatch(channel), yield* takeBatch(channel));
            closeChannel(channel);
            batches.push(yield* takeBatch(channel));
        }).ended;
        assert.deepEqual(
            batches.map(batch => batch?.length),
            [256, 44, undefined],
        );
        assert.deepEqual(batches.slice(0, 2).flat(), [...Array(300).keys()]);
    });
});

describe("selectMessage", () => {
    it("returns the name of the channel that is ready", async () => {
        const slow = createChannel<number>();
        const ready = createChannel<string>(1);
        offerMessage(ready, "now");
        await startTask("selector", function* () {
            const event = yield* selectMessage({ slow, ready });
            assert.deepEqual(event, { from: "ready", message: "now" });
        }).ended;
    });

    it("returns undefined when a timeout expires first", async () => {
        const slow = createChannel<number>();
        const end = await startTask("selector", function* () {
            const event = yield* selectMessage({ slow, late: createTimeout(5) });
            assert.deepEqual(event, { from: "late", message: undefined });
        }).ended;
        assert.equal(end.failure, undefined);
    });
});

describe("createTimer", () => {
    it("expires after its delay", async () => {
        await startTask("waiter", function* () {
            const event = yield* selectMessage({ expired: createTimer(5).expired });
            assert.deepEqual(event, { from: "expired", message: undefined });
        }).ended;
    });

    it("closes its channel when disposed", async () => {
        const timer = createTimer(1_000_000);
        timer.dispose();
        assert.equal(await receiveMessage(timer.expired), undefined);
    });
});

describe("startTask", () => {
    it("converts an exception into a typed failure and disposes the resources of the task", async () => {
        let disposed = false;
        const end = await startTask("broken", function* (owned) {
            owned.add({ dispose: () => (disposed = true) });
            yield* waitFor(Promise.reject(new Error("socket reset")));
        }).ended;
        assert.equal(end.failure?.kind, FailureKind.TaskFailed);
        assert.match(end.failure?.message ?? "", /socket reset/);
        assert.equal(disposed, true);
    });
});

describe("superviseTask", () => {
    it("restarts a failing task until its body returns", async () => {
        const clock = createManualClock();
        const failures: FailureKind[] = [];
        let starts = 0;
        const end = superviseTask(
            "flaky",
            function* () {
                starts++;
                if (starts < 3) {
                    throw new Error("not yet");
                }
                yield* waitFor(Promise.resolve());
            },
            { clock, reportFailure: (name, failure) => failures.push(failure.kind) },
        );
        while (starts < 3) {
            await new Promise(resolve => setImmediate(resolve));
            clock.advanceMs(1_000);
        }
        assert.equal((await end).failure, undefined);
        assert.deepEqual(failures, [FailureKind.TaskFailed, FailureKind.TaskFailed]);
    });

    // Guards against: a task whose failures can't be reported ends for good.
    it("restarts a failing task even if its report fails", async () => {
        const clock = createManualClock();
        let starts = 0;
        const body = function* () {
            if (starts++ === 0) {
                throw new Error("planted");
            }
            yield* waitFor(Promise.resolve());
        };
        const reportFailure = () => {
            throw new Error("planted in the report");
        };
        const end = superviseTask("flaky", body, { clock, reportFailure });
        await runClock(clock, 1_000);
        assert.equal((await end).failure, undefined);
        assert.equal(starts, 2);
    });

    // Guards against: a task that has failed some times in its life is away for 5 s after each further failure.
    it("restarts a task soon that has run for long before it failed, and later and later one that fails at once", async () => {
        const clock = createManualClock();
        const startsAtMs: number[] = [];
        const runMs = [8_000, 8_000, 8_000, 8_000, 8_000, 8_000, 8_000, 8_000, 0, 0, 0, 0, 0, 0, 0, 0, 0];
        const body = function* () {
            startsAtMs.push(clock.readMonotonicMs());
            yield* waitFor(clock.waitMs(runMs[startsAtMs.length - 1] ?? 0));
            throw new Error("planted");
        };
        void superviseTask("flaky", body, { clock, reportFailure: () => undefined });
        await runClock(clock, 100_000);
        const pausesMs = startsAtMs
            .slice(1)
            .map((atMs, index) => atMs - (startsAtMs[index] ?? 0) - (runMs[index] ?? 0));
        assert.ok(Math.max(...pausesMs.slice(0, 8)) <= 100, pausesMs.join(", "));
        assert.ok((pausesMs[16] ?? 0) >= 5_000, pausesMs.join(", "));
    });
});
