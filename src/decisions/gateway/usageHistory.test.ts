import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createUsageHistory } from "./usageHistory";

describe("the history of usage", () => {
    it("gives what was charged between two times", () => {
        const history = createUsageHistory(8_000);
        for (let nowMs = 0; nowMs < 8_000; nowMs += 250) {
            history.recordSample(0, nowMs < 4_000 ? 50 : 0, nowMs);
        }
        assert.equal(history.sumUsage(1_000, 2_000), 100);
        assert.equal(history.sumUsage(3_500, 4_500), 50);
        assert.equal(history.sumUsage(5_000, 7_000), 0);
    });

    it("takes the lower rate for a gap, so that usage isn't taken to leave the window too early", () => {
        const history = createUsageHistory(8_000);
        history.recordSample(0, 0, 0);
        history.recordSample(500, 500, 2_000);
        assert.equal(history.sumUsage(0, 2_000), 0);
    });

    it("takes nothing for granted where all usage is recent when the first sample arrives", () => {
        const history = createUsageHistory(8_000);
        history.recordSample(500, 500, 20_000);
        assert.equal(history.sumUsage(12_000, 19_000), 0);
    });
});
