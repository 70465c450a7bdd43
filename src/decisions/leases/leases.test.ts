import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { RunnerOrderKind } from "../../ports/modelRunner";
import { exploreLeases } from "./_lib/exploreLeases";
import { applyLeaseAnswer, applyLeaseRead, isLeaseHeld, recordLeaseWrite } from "./applyLeaseEvents";
import { createLeaseState } from "./createLeaseState";
import { decideLeaseStep } from "./decideLeaseStep";
import { type LeaseState, LeaseStepKind, LeaseWriteOutcome } from "./leaseState";
import { findFirstOrderMs, isOrderCompatible, isOrderInEffect } from "./orders";

const terms = { holderId: "a", durationMs: 1_000, marginMs: 50 };
const other = { row: { holderId: "b", epoch: 4, durationMs: 1_000 }, rowVersion: 9, token: "x" };

const acquire = (sentAtMs: number): LeaseState => {
    const read = applyLeaseRead(createLeaseState(terms), undefined, sentAtMs);
    const step = decideLeaseStep(read, sentAtMs);
    assert.ok(step.kind === LeaseStepKind.Write);
    return recordLeaseWrite(read, { token: "t1", sentAtMs, row: step.row, expectedVersion: step.expectedVersion });
};

describe("a lease", () => {
    it("is valid for its duration less the margin, counted from before its write was sent", () => {
        const held = applyLeaseAnswer(acquire(100), "t1", LeaseWriteOutcome.Accepted, { rowVersion: 1, nowMs: 900 });
        assert.ok(isLeaseHeld(held, 1_049, 0));
        assert.ok(!isLeaseHeld(held, 1_050, 0));
        assert.ok(!isLeaseHeld(held, 1_000, 50));
    });

    it("is held after a lost answer only once the row shows the write's token", () => {
        const unknown = applyLeaseAnswer(acquire(0), "t1", LeaseWriteOutcome.Unknown, { nowMs: 10 });
        assert.ok(!isLeaseHeld(unknown, 20, 0));
        assert.equal(decideLeaseStep(unknown, 20).kind, LeaseStepKind.Read);
        const row = { holderId: "a", epoch: 1, durationMs: 1_000 };
        const seen = applyLeaseRead(unknown, { row, rowVersion: 1, token: "t1" }, 30);
        assert.ok(isLeaseHeld(seen, 40, 0));
        assert.equal(seen.held?.validUntilMs, 950);
    });

    it("is taken over only after the same row version was seen for its duration plus the margin", () => {
        const seen = applyLeaseRead(createLeaseState(terms), other, 500);
        assert.deepEqual(decideLeaseStep(seen, 1_549), { kind: LeaseStepKind.Wait, untilMs: 1_550 });
        const renewed = applyLeaseRead(seen, { ...other, rowVersion: 10 }, 1_400);
        assert.deepEqual(decideLeaseStep(renewed, 1_600), { kind: LeaseStepKind.Wait, untilMs: 2_450 });
        const step = decideLeaseStep(renewed, 2_450);
        assert.ok(step.kind === LeaseStepKind.Write);
        assert.equal(step.row.epoch, 5);
        assert.equal(step.expectedVersion, 10);
    });

    it("can be acquired immediately after a release", () => {
        const released = { ...other, row: { ...other.row, holderId: undefined } };
        const seen = applyLeaseRead(createLeaseState(terms), released, 500);
        assert.equal(decideLeaseStep(seen, 500).kind, LeaseStepKind.Write);
    });

    it("is lost once the row shows another holder", () => {
        const held = applyLeaseAnswer(acquire(0), "t1", LeaseWriteOutcome.Accepted, { rowVersion: 1, nowMs: 1 });
        assert.equal(applyLeaseRead(held, other, 100).held, undefined);
    });

    it("is read again after a conflict before the next write", () => {
        const lost = applyLeaseAnswer(acquire(0), "t1", LeaseWriteOutcome.Conflict, { nowMs: 5 });
        assert.equal(decideLeaseStep(lost, 5).kind, LeaseStepKind.Read);
    });
});

describe("every interleaving of two nodes with lost answers, delayed writes, releases and pauses", () => {
    it("keeps the guarantees: at most one holder at any time and one holder per epoch, up to depth 11", () => {
        const explored = exploreLeases({ depth: 11, durationMs: 1, marginMs: 0.5 });
        assert.deepEqual(explored.violations, []);
        assert.ok(explored.states > 50_000, `${explored.states} states`);
        assert.ok(explored.takeovers > 0, "the exploration reaches takeovers");
        assert.ok(explored.lostAnswers > 0, "the exploration reaches writes whose answer is lost");
    });

    it("violates the guarantees if a lease counts from the answer, which shows that the exploration detects it", () => {
        const explored = exploreLeases({ depth: 10, durationMs: 1, marginMs: 0.5, countsFromAnswer: true });
        assert.ok(explored.violations.length > 0);
    });

    it("violates the guarantees if a takeover does not wait, which shows that the exploration detects it", () => {
        const explored = exploreLeases({ depth: 8, durationMs: 1, marginMs: 0.5, takesOverAtOnce: true });
        assert.ok(explored.violations.length > 0);
    });
});

describe("lease states", () => {
    it("never hold a lease longer than its duration less the margin after the last write was sent", () => {
        const event = fc.record({
            kind: fc.constantFrom("read", "write", "answer"),
            outcome: fc.constantFrom(...Object.values(LeaseWriteOutcome)),
            waitMs: fc.integer({ min: 0, max: 400 }),
            version: fc.integer({ min: 1, max: 5 }),
        });
        fc.assert(
            fc.property(fc.array(event, { maxLength: 30 }), events => {
                let state = createLeaseState(terms);
                let nowMs = 0;
                let lastSentMs = Number.NEGATIVE_INFINITY;
                for (const { kind, outcome, waitMs, version } of events) {
                    nowMs += waitMs;
                    const step = decideLeaseStep(state, nowMs);
                    if (kind === "read") {
                        state = applyLeaseRead(state, { ...other, rowVersion: version }, nowMs);
                    } else if (kind === "write" && step.kind === LeaseStepKind.Write) {
                        lastSentMs = nowMs;
                        const { row, expectedVersion } = step;
                        state = recordLeaseWrite(state, { token: `t${nowMs}`, sentAtMs: nowMs, row, expectedVersion });
                    } else if (state.sent[0] !== undefined) {
                        const options = { rowVersion: version, nowMs };
                        state = applyLeaseAnswer(state, state.sent[0].token, outcome, options);
                    }
                    assert.ok((state.held?.validUntilMs ?? 0) <= Math.max(0, lastSentMs + 950));
                }
            }),
            { seed: 11, numRuns: 500 },
        );
    });
});

describe("orders", () => {
    it("wait for orders of previous holders only at endpoints that do not check fencing tokens", () => {
        assert.equal(findFirstOrderMs({ checksFencing: true, acquiredAtMs: 100, maximumDeliveryMs: 500 }), 100);
        assert.equal(findFirstOrderMs({ checksFencing: false, acquiredAtMs: 100, maximumDeliveryMs: 500 }), 600);
    });

    it("are in effect when the endpoint is in the desired state", () => {
        const state = { version: "v2", adapters: ["x"], role: "prefill", epoch: undefined };
        const cases = [
            [RunnerOrderKind.LoadVersion, "v2", "v1"],
            [RunnerOrderKind.LoadAdapter, "x", "y"],
            [RunnerOrderKind.ChangeRole, "prefill", "decode"],
        ] as const;
        for (const [kind, present, absent] of cases) {
            assert.ok(isOrderInEffect({ kind, argument: present }, state));
            assert.ok(!isOrderInEffect({ kind, argument: absent }, state));
        }
    });

    it("are compatible only if they are equal or both load adapters", () => {
        const load = (argument: string) => ({ kind: RunnerOrderKind.LoadVersion, argument });
        const adapter = (argument: string) => ({ kind: RunnerOrderKind.LoadAdapter, argument });
        assert.ok(isOrderCompatible(load("a"), load("a")));
        assert.ok(!isOrderCompatible(load("a"), load("b")));
        assert.ok(isOrderCompatible(adapter("a"), adapter("b")));
        assert.ok(!isOrderCompatible(adapter("a"), load("a")));
    });
});
