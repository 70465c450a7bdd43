import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Result } from "neverthrow";
import { createManualClock } from "../../base/createManualClock";
import { type Failure, FailureKind } from "../../base/failure";
import type { CapacitySource, ServiceCapacity } from "../../decisions/routing/serviceCapacity";
import type { Configuration } from "../../model/configuration";
import type { AdmissionRequest } from "./admissionClient";
import { createAdmissionTask } from "./createAdmissionTask";

const CONFIGURATION: Configuration = {
    revision: 1,
    classes: {
        question: {
            name: "question",
            latencyTargetMs: 1_000,
            tokenGapTargetMs: 50,
            deadlineMs: 10_000,
            costCeilingMicros: 500,
            isIdempotent: true,
        },
    },
    accounts: {},
    services: {},
    endpointTraits: {},
    versionMoves: {},
};

function createFixture() {
    const clock = createManualClock();
    const available = {
        liveEndpoints: 1,
        ownInFlight: 0,
        freeSlots: 2,
        bestFirstTokenMs: 50,
        prefillTokensPerSecond: 8_000,
        tokenGapMs: 1,
        estimateErrorMs: 0,
        costMicros: 100,
    };
    const capacity: CapacitySource = {
        readCapacity: (): ServiceCapacity => available,
        findCostAtTarget: () => available.costMicros,
        recordDemand: () => undefined,
    };
    const admission = createAdmissionTask({
        clock,
        capacity,
        configuration: { readCurrent: () => CONFIGURATION },
        reportFailure: (name, failure) => assert.fail(`${name}: ${failure.message}`),
    });
    const runFor = async (totalMs: number) => {
        for (let passedMs = 0; passedMs < totalMs; passedMs += 20) {
            await new Promise(resolve => setImmediate(resolve));
            clock.advanceMs(20);
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    const submit = (requestId: string, change: Partial<AdmissionRequest> = {}) => {
        const nowMs = clock.readMonotonicMs();
        const submitted: { result: Result<void, Failure> | undefined } = { result: undefined };
        const context = {
            requestId,
            accountName: "depot",
            className: "question",
            isIdempotent: true,
            acceptedAtMs: nowMs,
            firstTokenDueAtMs: nowMs + 1_000,
            deadlineAtMs: nowMs + 10_000,
        };
        const request = { context, serviceName: "news", promptTokens: 400, maximumTokens: 400, ...change };
        void admission.requestAdmission(request).then(result => (submitted.result = result));
        return submitted;
    };
    return { admission, available, runFor, submit };
}

describe("the admission task", () => {
    it("admits as many requests as there are slots, and the next one when one finishes", async () => {
        const { admission, submit, runFor } = createFixture();
        const submitted = ["r1", "r2", "r3"].map(id => submit(id));
        await runFor(40);
        assert.deepEqual(
            submitted.map(({ result }) => result?.isOk()),
            [true, true, undefined],
        );
        admission.finishRequest("r1", 300);
        await runFor(40);
        assert.equal(submitted[2]?.result?.isOk(), true);
        admission.dispose();
    });

    it("refuses a waiting request once it can't meet its latency target, and not before", async () => {
        const { admission, submit, runFor, available } = createFixture();
        available.freeSlots = 0;
        const submitted = submit("r1");
        await runFor(860);
        assert.equal(submitted.result?.isOk(), undefined);
        await runFor(100);
        assert.equal(submitted.result?._unsafeUnwrapErr().kind, FailureKind.TargetUnreachable);
        admission.dispose();
    });

    it("removes a waiting request that is cancelled", async () => {
        const { admission, submit, runFor, available } = createFixture();
        available.freeSlots = 0;
        const [first, second] = [submit("r1"), submit("r2")];
        await runFor(40);
        admission.cancelAdmission("r1");
        available.freeSlots = 1;
        await runFor(40);
        assert.equal(first.result?._unsafeUnwrapErr().kind, FailureKind.Cancelled);
        assert.equal(second.result?.isOk(), true);
        admission.dispose();
    });

    it("frees the slot of an admitted request that is cancelled", async () => {
        const { admission, submit, runFor, available } = createFixture();
        available.freeSlots = 1;
        const [first, second] = [submit("r1"), submit("r2")];
        await runFor(40);
        assert.deepEqual([first.result?.isOk(), second.result], [true, undefined]);
        admission.cancelAdmission("r1");
        await runFor(40);
        assert.equal(second.result?.isOk(), true);
        admission.dispose();
    });

    it("refuses new requests while stopping and still admits waiting ones", async () => {
        const { admission, submit, runFor, available } = createFixture();
        available.freeSlots = 0;
        const waiting = submit("r1");
        await runFor(20);
        admission.stopAdmitting();
        const late = submit("r2");
        available.freeSlots = 1;
        await runFor(40);
        assert.equal(late.result?._unsafeUnwrapErr().kind, FailureKind.ShuttingDown);
        assert.equal(waiting.result?.isOk(), true);
        admission.dispose();
    });

    it("replies to every waiting request when it is disposed", async () => {
        const { admission, submit, runFor, available } = createFixture();
        available.freeSlots = 0;
        const submitted = submit("r1");
        await runFor(20);
        admission.dispose();
        await runFor(20);
        assert.equal(submitted.result?._unsafeUnwrapErr().kind, FailureKind.ShuttingDown);
    });

    it("replies to every request of a burst of 20,000 and admits only as many as there are slots", async () => {
        const { admission, submit, runFor } = createFixture();
        const submitted = Array.from({ length: 20_000 }, (_, index) => submit(`r${index}`));
        await runFor(1_200);
        const kinds = submitted.map(
            ({ result }) =>
                result?.match(
                    () => "ok",
                    failure => failure.kind,
                ) ?? "no reply",
        );
        assert.equal(kinds.filter(kind => kind === "no reply").length, 0);
        assert.equal(kinds.filter(kind => kind === "ok").length, 2);
        admission.dispose();
    });
});
