import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createFailure } from "../../base/createFailure";
import { Execution, FailureKind } from "../../base/failure";
import { addFirstAttempt } from "./addFirstAttempt";
import { chargeRetry } from "./chargeRetry";
import { computeResumeCharge } from "./computeResumeCharge";
import { MINIMUM_HEDGE_DELAY_MS, MAXIMUM_ATTEMPTS, RETRY_RATIO, INITIAL_RETRY_BUDGET } from "./constants";
import { createRetryBudget } from "./createRetryBudget";
import { mergeExecutions } from "./mergeExecutions";
import { decideHedge } from "./decideHedge";
import { decideRetry, type FailedAttempt, RetryReason, RetryRefusal } from "./decideRetry";
import { BatchVerdict, trimBatch } from "./trimBatch";

describe("retry budget", () => {
    it("never allows more than the initial budget plus the ratio of first attempts", () => {
        const steps = fc.array(fc.oneof(fc.constant(0), fc.double({ min: 0.01, max: 1, noNaN: true })), {
            maxLength: 400,
        });
        fc.assert(
            fc.property(steps, charges => {
                let budget = createRetryBudget();
                let extra = 0;
                for (const charge of charges) {
                    const after = charge === 0 ? addFirstAttempt(budget) : chargeRetry(budget, charge);
                    extra += charge > 0 && after !== undefined ? charge : 0;
                    budget = after ?? budget;
                }
                const allowedExtra = budget.firstAttempts * RETRY_RATIO + INITIAL_RETRY_BUDGET;
                assert.ok(extra <= allowedExtra + 1e-9);
                assert.ok(Math.abs(budget.extraAttempts - extra) < 1e-9);
            }),
        );
    });

    it("does not let a charge use the reserve", () => {
        const budget = createRetryBudget();
        assert.equal(chargeRetry(budget, 1, { reserve: INITIAL_RETRY_BUDGET }), undefined);
        assert.notEqual(chargeRetry(budget, 1), undefined);
    });

    it("charges a resumption by the fraction of work that is repeated", () => {
        const early = computeResumeCharge(1_000, 10, 500);
        const late = computeResumeCharge(1_000, 490, 500);
        assert.ok(early > 0 && early < late && late < 1);
    });
});

describe("decideRetry", () => {
    const base: FailedAttempt = {
        failure: createFailure(FailureKind.EndpointFailed, "reset", { execution: Execution.Unknown }),
        hasSentBytes: true,
        isIdempotent: true,
        attempts: 1,
        deliveredTokens: 0,
        deadlineAtMs: 1_000,
    };
    const unsent = { failure: createFailure(FailureKind.EndpointFailed, "refused"), hasSentBytes: false };
    const invalid = { failure: createFailure(FailureKind.InvalidRequest, "bad") };
    const cases: readonly [string, Partial<FailedAttempt>, RetryReason | RetryRefusal][] = [
        ["an idempotent request", {}, RetryReason.Idempotent],
        ["a stream", { deliveredTokens: 3 }, RetryReason.Resume],
        ["a request that was not sent", { ...unsent, isIdempotent: false }, RetryReason.NotStarted],
        ["a request that may have run", { isIdempotent: false }, RetryRefusal.NotIdempotent],
        [
            "a request reported as not run although bytes were sent",
            { ...unsent, hasSentBytes: true, isIdempotent: false },
            RetryRefusal.NotIdempotent,
        ],
        ["an invalid request", invalid, RetryRefusal.NotRetryable],
        ["a request with the maximum number of attempts", { attempts: MAXIMUM_ATTEMPTS }, RetryRefusal.AttemptsSpent],
        ["a request close to its deadline", { deadlineAtMs: 505 }, RetryRefusal.DeadlineTooNear],
    ];
    for (const [name, changes, expected] of cases) {
        it(`answers ${expected} for ${name}`, () => {
            const decision = decideRetry({ ...base, ...changes }, 500);
            assert.equal(decision.isAllowed ? decision.reason : decision.refusal, expected);
        });
    }
});

describe("decideHedge", () => {
    const waiting = {
        isIdempotent: true,
        hasHedge: false,
        sentAtMs: 0,
        estimatedFirstTokenMs: 100,
        firstTokenDueAtMs: 1_000,
    };

    it("waits for a multiple of the estimate, and at least the minimum delay", () => {
        assert.equal(decideHedge(waiting), 200);
        assert.equal(decideHedge({ ...waiting, estimatedFirstTokenMs: 1 }), MINIMUM_HEDGE_DELAY_MS);
    });

    it("sends no hedge that would miss the target, no second hedge and none for a non-idempotent request", () => {
        assert.equal(decideHedge({ ...waiting, firstTokenDueAtMs: 250 }), undefined);
        assert.equal(decideHedge({ ...waiting, hasHedge: true }), undefined);
        assert.equal(decideHedge({ ...waiting, isIdempotent: false }), undefined);
    });
});

describe("mergeExecutions", () => {
    it("returns NotRun only if every attempt was not run", () => {
        const execution = fc.constantFrom(Execution.NotRun, Execution.Unknown, Execution.Ran);
        fc.assert(
            fc.property(fc.array(execution), attempts => {
                const isNotRun = attempts.every(attempt => attempt === Execution.NotRun);
                assert.equal(mergeExecutions(attempts) === Execution.NotRun, isNotRun);
            }),
        );
    });
});

describe("trimBatch", () => {
    const id = { requestId: "request", attempt: 2 };

    it("delivers a prefix of the answer from batches that are reordered, repeated or overlapping", () => {
        const batches = fc.array(
            fc.record({ offset: fc.integer({ min: -2, max: 30 }), size: fc.integer({ min: 0, max: 6 }) }),
        );
        fc.assert(
            fc.property(batches, list => {
                const whole = Array.from({ length: 40 }, (_unused, index) => `t${index}`);
                const delivered: string[] = [];
                for (const { offset, size } of list) {
                    const texts = whole.slice(Math.max(0, offset), Math.max(0, offset) + size);
                    const trimmed = trimBatch(delivered, id, id, { offset, texts });
                    delivered.push(...trimmed.texts);
                    const isDelivered = [BatchVerdict.Accepted, BatchVerdict.Trimmed].includes(trimmed.verdict);
                    assert.equal(isDelivered, trimmed.texts.length > 0);
                }
                assert.deepEqual(delivered, whole.slice(0, delivered.length));
            }),
        );
    });

    it("rejects batches of another request or attempt and batches that contradict delivered text", () => {
        const batch = { offset: 1, texts: ["b"] };
        assert.equal(trimBatch(["a"], id, { ...id, attempt: 1 }, batch).verdict, BatchVerdict.Foreign);
        assert.equal(trimBatch(["a"], id, { ...id, requestId: "other" }, batch).verdict, BatchVerdict.Foreign);
        assert.equal(trimBatch(["a", "x"], id, id, { offset: 1, texts: ["b", "c"] }).verdict, BatchVerdict.Contradicts);
    });
});
