import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { Execution, FailureKind } from "../../base/failure";
import type { ServiceCall } from "../../model/request";
import type { ApplicationRunnerPort } from "../../ports/applicationRunner";
import {
    assertNothingPending,
    buildContext,
    createExecutionHarness,
    type ExecutionHarness,
} from "./_testing/createExecutionHarness";
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

const sendCall = (harness: ExecutionHarness, requestId: string, key: string, body = "ten") => {
    const context = buildContext(harness, requestId, {
        isIdempotent: false,
        idempotencyKey: key,
        deadlineAtMs: harness.clock.readMonotonicMs() + 10_000,
    });
    const call = { ...CALL, body: Buffer.from(body) };
    const answer = harness.execution.callService(context, call, new AbortController().signal);
    return runVirtualTime(harness.clock, answer);
};

const countEffects = (harness: ExecutionHarness) =>
    [...harness.fleet.record.effects.values()].reduce((sum, effects) => sum + effects, 0);

describe("calls that may not be repeated", () => {
    it("need an idempotency key", async () => {
        const harness = createExecutionHarness();
        const context = buildContext(harness, "keyless", { isIdempotent: false });
        const answer = harness.execution.callService(context, CALL, new AbortController().signal);
        const failure = (await runVirtualTime(harness.clock, answer))._unsafeUnwrapErr();
        assert.equal(failure.kind, FailureKind.IdempotencyKeyRequired);
        assert.equal(failure.execution, Execution.NotRun);
    });

    it("return the recorded outcome for the same key and refuse another body under it", async () => {
        const harness = createExecutionHarness();
        const first = (await sendCall(harness, "first", "key"))._unsafeUnwrap();
        const again = (await sendCall(harness, "second", "key"))._unsafeUnwrap();
        assert.equal(again.body.toString(), "done ten");
        assert.deepEqual(again, first);
        const reused = (await sendCall(harness, "third", "key", "eleven"))._unsafeUnwrapErr();
        assert.equal(reused.kind, FailureKind.IdempotencyKeyReused);
        assert.equal(countEffects(harness), 1);
    });

    it("store a large outcome in the object store", async () => {
        const harness = createExecutionHarness();
        const large = "x".repeat(20_000);
        await sendCall(harness, "first", "key", large);
        assert.equal(harness.store.objectKeys().length, 1);
        const again = (await sendCall(harness, "second", "key", large))._unsafeUnwrap();
        assert.equal(again.body.toString(), `done ${large}`);
    });

    it("are refused with a retry time while another request under the key is in progress", async () => {
        const harness = createExecutionHarness({ drawCallFault: () => CallFault.Silent });
        const first = sendCall(harness, "first", "key");
        await runVirtualTime(harness.clock, harness.clock.waitMs(200));
        const second = (await sendCall(harness, "second", "key"))._unsafeUnwrapErr();
        assert.equal(second.kind, FailureKind.IdempotencyKeyInProgress);
        assert.ok((second.retryAfterMs ?? 0) > 0);
        assert.equal((await first)._unsafeUnwrapErr().execution, Execution.Unknown);
    });

    for (const first of CALL_FAULTS) {
        for (const second of CALL_FAULTS) {
            it(`run at most once under the faults ${first} and ${second}, even if the caller repeats them`, async () => {
                const faults = [first, second];
                const harness = createExecutionHarness({
                    drawCallFault: (requestId, attempt) =>
                        requestId === "first" ? (faults[attempt - 1] ?? CallFault.None) : CallFault.None,
                });
                const answer = await sendCall(harness, "first", "key");
                const deciding = first === CallFault.Refused ? second : first;
                const isAnswered = deciding === CallFault.None || deciding === CallFault.Refused;
                assert.equal(answer.isOk(), isAnswered);
                const again = await sendCall(harness, "second", "key");
                assert.equal(again.isOk(), isAnswered);
                if (again.isErr()) {
                    assert.equal(again.error.kind, FailureKind.OutcomeUnknown);
                    assert.equal(again.error.execution, Execution.Unknown);
                }
                assert.ok(countEffects(harness) <= 1);
                await flushTasks();
                assertNothingPending(harness);
            });
        }
    }
});

describe("calls that may not be repeated, under store faults", () => {
    it("run at most once, and report not_run only if nothing was sent, under every pair of faults at every step", async () => {
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
                        const harness = createExecutionHarness({}, { drawFault });
                        const answers = [
                            await sendCall(harness, "first", "key"),
                            await sendCall(harness, "second", "key"),
                        ];
                        const effects = countEffects(harness);
                        assert.ok(effects <= 1, `${firstFault}@${firstStep}, ${secondFault}@${secondStep}`);
                        answers.forEach((answer, index) => {
                            const sent = harness.fleet.record.sent.get(index === 0 ? "first" : "second") ?? 0;
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
        assert.ok(answered > cases, "most calls are answered despite the faults");
    });

    it("are refused as not run while the store is unavailable, and answered again once it recovers", async () => {
        let isStoreDown = true;
        const drawFault = () => (isStoreDown ? StoreFault.Unavailable : StoreFault.None);
        const harness = createExecutionHarness({}, { drawFault });
        const refused = (await sendCall(harness, "first", "key"))._unsafeUnwrapErr();
        assert.equal(refused.kind, FailureKind.StoreUnavailable);
        assert.equal(refused.execution, Execution.NotRun);
        assert.equal(countEffects(harness), 0);
        isStoreDown = false;
        assert.ok((await sendCall(harness, "second", "key")).isOk());
        assert.equal(countEffects(harness), 1);
    });

    it("wait within their latency target for the store to recover", async () => {
        let isStoreDown = true;
        const harness = createExecutionHarness(
            {},
            { drawFault: () => (isStoreDown ? StoreFault.Unavailable : StoreFault.None) },
        );
        void harness.clock.waitMs(2_000).then(() => (isStoreDown = false));
        assert.ok((await sendCall(harness, "first", "key")).isOk());
        assert.equal(countEffects(harness), 1);
    });

    it("are answered when the outcome can't be recorded, and never run again", async () => {
        let isStoreDown = false;
        const harness = createExecutionHarness(
            {
                drawCallFault: () => {
                    isStoreDown = true;
                    return CallFault.None;
                },
            },
            { drawFault: () => (isStoreDown ? StoreFault.Unavailable : StoreFault.None) },
        );
        assert.ok((await sendCall(harness, "first", "key")).isOk());
        isStoreDown = false;
        const again = await sendCall(harness, "second", "key");
        assert.ok(again.isOk() || again.error.kind === FailureKind.IdempotencyKeyInProgress);
        assert.equal(countEffects(harness), 1);
    });

    it("stay unknown once the claim holder has failed and its claim has expired", async () => {
        const harness = createExecutionHarness({ drawCallFault: () => CallFault.Silent });
        void sendCall(harness, "first", "key");
        await runVirtualTime(harness.clock, harness.clock.waitMs(300));
        const [row] = [...harness.store.rows.values()];
        const other = createExecutionHarness();
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
    // Guards against a planned stop that tells callers that they had cancelled.
    it("end as shutting down, and not as cancelled, when the drain time is over", async () => {
        const harness = createExecutionHarness();
        const failure = createFailure(FailureKind.Cancelled, "The call was cancelled.", {
            execution: Execution.Unknown,
        });
        const callService: ApplicationRunnerPort["callService"] = (_endpoint, _id, _call, { cancelled }) =>
            new Promise(resolve => cancelled.addEventListener("abort", () => resolve(err(failure))));
        Object.assign(harness.fleet.applications, { callService });
        const context = buildContext(harness, "first", { deadlineAtMs: harness.clock.readMonotonicMs() + 10_000 });
        const answer = harness.execution.callService(context, CALL, new AbortController().signal);
        await runVirtualTime(harness.clock, harness.clock.waitMs(50));
        assert.deepEqual(await runVirtualTime(harness.clock, harness.execution.drain(1_000)), { cut: 1 });
        const shown = (await runVirtualTime(harness.clock, answer))._unsafeUnwrapErr();
        assert.equal(shown.kind, FailureKind.ShuttingDown);
        assert.equal(shown.execution, Execution.Unknown);
    });

    it("go to another endpoint after every fault, within the retry budget", async () => {
        for (const fault of [CallFault.Refused, CallFault.LostBefore, CallFault.LostAfter]) {
            const harness = createExecutionHarness({
                drawCallFault: (_requestId, attempt) => (attempt === 1 ? fault : CallFault.None),
            });
            const context = buildContext(harness, "read");
            const answer = harness.execution.callService(context, CALL, new AbortController().signal);
            assert.ok((await runVirtualTime(harness.clock, answer)).isOk(), fault);
            assert.equal(harness.execution.readCounts().extraAttempts, 1);
        }
    });
});
