import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RouteKind } from "../../model/gateway";
import { makeRoute } from "./_testing/makeRoute";
import { decideGiveUp, type WaitingState } from "./decideGiveUp";

const BETTER: WaitingState = {
    executions: 0,
    sends: 1,
    remainingMs: 1_000,
    estimateElsewhereMs: () => 100,
    chargeRetry: () => true,
};

describe("an attempt that takes too long", () => {
    it("is given up if another endpoint is expected to answer in time", () => {
        assert.ok(decideGiveUp(makeRoute(), BETTER));
    });
    for (const [name, changes] of Object.entries<Partial<WaitingState>>({
        "no other endpoint is there": { estimateElsewhereMs: () => undefined },
        "the other endpoint would answer too late": { estimateElsewhereMs: () => 1_000 },
        "the retry budget is used up": { chargeRetry: () => false },
        "the route permits no further execution": { executions: 1 },
        "too many attempts were made": { sends: 4 },
    })) {
        it(`is kept if ${name}`, () => {
            assert.ok(!decideGiveUp(makeRoute(), { ...BETTER, ...changes }));
        });
    }
    it("is kept if the request may be executed only once, and nothing is charged", () => {
        const chargeRetry = () => assert.fail("charged");
        assert.ok(!decideGiveUp(makeRoute({ kind: RouteKind.NonIdempotent }), { ...BETTER, chargeRetry }));
        const estimateElsewhereMs = () => undefined;
        assert.ok(!decideGiveUp(makeRoute(), { ...BETTER, estimateElsewhereMs, chargeRetry }));
    });
});
