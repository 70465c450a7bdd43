import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeStallTimeoutMs } from "./computeStallTimeoutMs";

describe("the time after which a stream is stalled", () => {
    it("is never shorter than any of the times that its caller waits", () => {
        assert.equal(computeStallTimeoutMs({ objectiveMs: 100, gapTargetMs: 0 }), 2_000);
        assert.equal(computeStallTimeoutMs({ objectiveMs: 900, gapTargetMs: 100 }), 3_600);
        assert.equal(computeStallTimeoutMs({ objectiveMs: 600, gapTargetMs: 400 }), 3_200);
    });
});
