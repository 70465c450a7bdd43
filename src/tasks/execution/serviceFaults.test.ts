import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Execution, FailureKind } from "../../base/failure";
import type { ServiceCall } from "../../model/request";
import {
    assertNothingLeft,
    buildContext,
    createExecutionWorld,
    type ExecutionWorld,
} from "./_testing/createExecutionWorld";
import { StoreFault } from "./_testing/createFakeStore";
import { CallFault } from "./_testing/faults";
import { flushTasks, runVirtualTime } from "./_testing/runVirtualTime";

const CALL: ServiceCall = {
    serviceName: "payouts",
    method: "POST",
    path: "/postings/2026?draft=0",
    headers: {},
    body: Buffer.from("ten"),
};
const CALL_FAULTS = Object.values(CallFault);
const STORE_FAULTS = Object.values(StoreFault);

const sendCall = (world: ExecutionWorld, requestId: string, key: string, body = "ten") => {
    const context = buildContext(world, requestId, {
        isIdempotent: false,
        idempotencyKey: key,
        deadlineAtMs: world.clock.readMonotonicMs() + 10_000,
    });
    const call = { ...CALL, body: Buffer.from(body) };
    const answer = world.execution.callService(context, call, new AbortController().signal);
    return runVirtualTime(world.clock, answer);
};

const countEffects = (world: ExecutionWorld) =>
    [...world.fleet.record.effects.values()].reduce((sum, effects) => sum + effects, 0);

describe("calls that may not be repeated", () => {
    it("need a key", async () => {
        const world = createExecutionWorld();
        const context = buildContext(world, "keyless", { isIdempotent: false });
        const answer = world.execution.callService(context, CALL, new AbortController().signal);
        const failure = (await runVirtualTime(world.clock, answer))._unsafeUnwrapErr();
        assert.equal(failure.kind, FailureKind.IdempotencyKeyRequired);
        assert.equal(failure.execution, Execution.NotRun);
    });

    it("give the recorded outcome for the same key and refuse another body under it", async () => {
        const world = createExecutionWorld();
        const first = (await sendCall(world, "first", "key"))._unsafeUnwrap();
        const again = (await sendCall(world, "second", "key"))._unsafeUnwrap();
        assert.equal(again.body.toString(), "done ten");
        assert.deepEqual(again, first);
        const reused = (await sendCall(world, "third", "key", "eleven"))._unsafeUnwrapErr();
        assert.equal(reused.kind, FailureKind.IdempotencyKeyReused);
        assert.equal(countEffects(world), 1);
    });

    it("keep a large outcome in the object store", async () => {
        const world = createExecutionWorld();
        const large = "x".repeat(20_000);
        await sendCall(world, "first", "key", large);
        assert.equal(world.store.objectKeys().length, 1);
        const again = (await sendCall(world, "second", "key", large))._unsafeUnwrap();
        assert.equal(again.body.toString(), `done ${large}`);
    });

    it("are told to wait while another request under the key is in progress", async () => {
        const world = createExecutionWorld({ drawCallFault: () => CallFault.Silent });
        const first = sendCall(world, "first", "key");
        await runVirtualTime(world.clock, world.clock.waitMs(200));
        const second = (await sendCall(world, "second", "key"))._unsafeUnwrapErr();
        assert.equal(second.kind, FailureKind.IdempotencyKeyInProgress);
        assert.ok((second.retryAfterMs ?? 0) > 0);
        assert.equal((await first)._unsafeUnwrapErr().execution, Execution.Unknown);
    });

    for (const first of CALL_FAULTS) {
        for (const second of CALL_FAULTS) {
            it(`run at most once through the faults ${first} and ${second}, also when the caller repeats them`, async () => {
                const faults = [first, second];
                const world = createExecutionWorld({
                    drawCallFault: (requestId, attempt) =>
                        requestId === "first" ? (faults[attempt - 1] ?? CallFault.None) : CallFault.None,
                });
                const answer = await sendCall(world, "first", "key");
                const deciding = first === CallFault.Refused ? second : first;
                const isAnswered = deciding === CallFault.None || deciding === CallFault.Refused;
                assert.equal(answer.isOk(), isAnswered);
                const again = await sendCall(world, "second", "key");
                assert.equal(again.isOk(), isAnswered);
                if (again.isErr()) {
                    assert.equal(again.error.kind, FailureKind.OutcomeUnknown);
                    assert.equal(again.error.execution, Execution.Unknown);
                }
                assert.ok(countEffects(world) <= 1);
                await flushTasks();
                assertNothingLeft(world);
            });
        }
    }
});

describe("calls that may not be repeated, with faults of the store", () => {
    it("run at most once, and say not_run only if nothing was sent, through every pair of faults at every step", async () => {
        const steps = 5;
        let cases = 0;
        let answered = 0;
        for (let firstStep = 0; firstStep < steps; firstStep++) {
            for (let secondStep = firstStep; secondStep < steps; secondStep++) {
                for (const firstFault of STORE_FAULTS) {
                    for (const secondFault of STORE_FAULTS) {
                        let step = 0;
                        const drawFault = () => {
                            const index = step++;
                            const isFirst = index === firstStep ? firstFault : StoreFault.None;
                            return index === secondStep ? secondFault : isFirst;
                        };
                        const world = createExecutionWorld({}, { drawFault });
                        const answers = [await sendCall(world, "first", "key"), await sendCall(world, "second", "key")];
                        const effects = countEffects(world);
                        assert.ok(effects <= 1, `${firstFault}@${firstStep}, ${secondFault}@${secondStep}`);
                        answers.forEach((answer, index) => {
                            const sent = world.fleet.record.sent.get(index === 0 ? "first" : "second") ?? 0;
                            const isNotRun = answer.isErr() && answer.error.execution === Execution.NotRun;
                            assert.ok(!isNotRun || sent === 0);
                            assert.ok(answer.isErr() || effects === 1);
                        });
                        cases++;
                        answered += answers.filter(answer => answer.isOk()).length;
                    }
                }
            }
        }
        assert.equal(cases, 15 * STORE_FAULTS.length ** 2);
        assert.ok(answered > cases, "most calls are answered in spite of the faults");
    });

    it("are refused as not run while the store is away, and answered again when it is back", async () => {
        let isAway = true;
        const drawFault = () => (isAway ? StoreFault.Unavailable : StoreFault.None);
        const world = createExecutionWorld({}, { drawFault });
        const refused = (await sendCall(world, "first", "key"))._unsafeUnwrapErr();
        assert.equal(refused.kind, FailureKind.StoreUnavailable);
        assert.equal(refused.execution, Execution.NotRun);
        assert.equal(countEffects(world), 0);
        isAway = false;
        assert.ok((await sendCall(world, "second", "key")).isOk());
        assert.equal(countEffects(world), 1);
    });

    it("wait inside their latency target for a store that comes back", async () => {
        let isAway = true;
        const world = createExecutionWorld(
            {},
            { drawFault: () => (isAway ? StoreFault.Unavailable : StoreFault.None) },
        );
        void world.clock.waitMs(2_000).then(() => (isAway = false));
        assert.ok((await sendCall(world, "first", "key")).isOk());
        assert.equal(countEffects(world), 1);
    });

    it("are answered when the outcome can't be recorded, and never run again", async () => {
        let isAway = false;
        const world = createExecutionWorld(
            {
                drawCallFault: () => {
                    isAway = true;
                    return CallFault.None;
                },
            },
            { drawFault: () => (isAway ? StoreFault.Unavailable : StoreFault.None) },
        );
        assert.ok((await sendCall(world, "first", "key")).isOk());
        isAway = false;
        const again = await sendCall(world, "second", "key");
        assert.ok(again.isOk() || again.error.kind === FailureKind.IdempotencyKeyInProgress);
        assert.equal(countEffects(world), 1);
    });

    it("stay unknown once the holder has died and its claim has lapsed", async () => {
        const world = createExecutionWorld({ drawCallFault: () => CallFault.Silent });
        void sendCall(world, "first", "key");
        await runVirtualTime(world.clock, world.clock.waitMs(300));
        const [row] = [...world.store.rows.values()];
        const other = createExecutionWorld();
        const seeded = [{ key: row?.key ?? "", value: row?.value ?? "" }];
        const conditions = [{ key: row?.key ?? "", version: undefined }];
        const put = other.store.table.commitTransaction({ token: "seed", conditions, writes: seeded });
        await runVirtualTime(other.clock, put);
        await runVirtualTime(other.clock, other.clock.waitMs(30_000));
        for (const requestId of ["second", "third"]) {
            const failure = (await sendCall(other, requestId, "key"))._unsafeUnwrapErr();
            assert.equal(failure.kind, FailureKind.OutcomeUnknown);
        }
        assert.equal(countEffects(other), 0);
    });
});

describe("calls that may be repeated", () => {
    it("go to another endpoint after every fault, inside the budget", async () => {
        for (const fault of [CallFault.Refused, CallFault.LostBefore, CallFault.LostAfter]) {
            const world = createExecutionWorld({
                drawCallFault: (_requestId, attempt) => (attempt === 1 ? fault : CallFault.None),
            });
            const context = buildContext(world, "read");
            const answer = world.execution.callService(context, CALL, new AbortController().signal);
            assert.ok((await runVirtualTime(world.clock, answer)).isOk(), fault);
            assert.equal(world.execution.readCounts().extraAttempts, 1);
        }
    });
});
