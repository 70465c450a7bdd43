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
    const seen = {
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
        readCapacity: (): ServiceCapacity => seen,
        findCostAtTarget: () => seen.costMicros,
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
    const ask = (requestId: string, change: Partial<AdmissionRequest> = {}) => {
        const nowMs = clock.readMonotonicMs();
        const asked: { result: Result<void, Failure> | undefined } = { result: undefined };
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
        void admission.requestAdmission(request).then(result => (asked.result = result));
        return asked;
    };
    return { admission, seen, runFor, ask };
}

describe("the admission task", () => {
    it("admits as many as have room, and the next when one finishes", async () => {
        const { admission, ask, runFor } = createFixture();
        const asked = ["r1", "r2", "r3"].map(id => ask(id));
        await runFor(40);
        assert.deepEqual(
            asked.map(({ result }) => result?.isOk()),
            [true, true, undefined],
        );
        admission.finishRequest("r1", 300);
        await runFor(40);
        assert.equal(asked[2]?.result?.isOk(), true);
        admission.dispose();
    });

    it("refuses a waiting request once its target is lost, and not before", async () => {
        const { admission, ask, runFor, seen } = createFixture();
        seen.freeSlots = 0;
        const asked = ask("r1");
        await runFor(860);
        assert.equal(asked.result?.isOk(), undefined);
        await runFor(100);
        assert.equal(asked.result?._unsafeUnwrapErr().kind, FailureKind.TargetUnreachable);
        admission.dispose();
    });

    it("removes the waiting request of a caller that disconnects", async () => {
        const { admission, ask, runFor, seen } = createFixture();
        seen.freeSlots = 0;
        const [first, second] = [ask("r1"), ask("r2")];
        await runFor(40);
        admission.cancelAdmission("r1");
        seen.freeSlots = 1;
        await runFor(40);
        assert.equal(first.result?._unsafeUnwrapErr().kind, FailureKind.Cancelled);
        assert.equal(second.result?.isOk(), true);
        admission.dispose();
    });

    it("frees the place of an admitted request that is given up", async () => {
        const { admission, ask, runFor, seen } = createFixture();
        seen.freeSlots = 1;
        const [first, second] = [ask("r1"), ask("r2")];
        await runFor(40);
        assert.deepEqual([first.result?.isOk(), second.result], [true, undefined]);
        admission.cancelAdmission("r1");
        await runFor(40);
        assert.equal(second.result?.isOk(), true);
        admission.dispose();
    });

    it("refuses new requests while stopping and still serves waiting ones", async () => {
        const { admission, ask, runFor, seen } = createFixture();
        seen.freeSlots = 0;
        const waiting = ask("r1");
        await runFor(20);
        admission.stopAdmitting();
        const late = ask("r2");
        seen.freeSlots = 1;
        await runFor(40);
        assert.equal(late.result?._unsafeUnwrapErr().kind, FailureKind.ShuttingDown);
        assert.equal(waiting.result?.isOk(), true);
        admission.dispose();
    });

    it("answers every waiting request when it ends", async () => {
        const { admission, ask, runFor, seen } = createFixture();
        seen.freeSlots = 0;
        const asked = ask("r1");
        await runFor(20);
        admission.dispose();
        await runFor(20);
        assert.equal(asked.result?._unsafeUnwrapErr().kind, FailureKind.ShuttingDown);
    });

    it("answers each of a burst of 20,000 requests once, within its bounds", async () => {
        const { admission, ask, runFor } = createFixture();
        const asked = Array.from({ length: 20_000 }, (_, index) => ask(`r${index}`));
        await runFor(1_200);
        const kinds = asked.map(
            ({ result }) =>
                result?.match(
                    () => "ok",
                    failure => failure.kind,
                ) ?? "unanswered",
        );
        assert.equal(kinds.filter(kind => kind === "unanswered").length, 0);
        assert.equal(kinds.filter(kind => kind === "ok").length, 2);
        admission.dispose();
    });
});
