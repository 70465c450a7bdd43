import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeQuotaRetryMs } from "./computeQuotaRetryMs";

describe("computeQuotaRetryMs", () => {
    it("gives the time in which the quota grants the amount", () => {
        assert.equal(computeQuotaRetryMs({ quotaPerSecond: 10_000 }, 5_000), 500);
    });

    // Guards against: retries at once of tiny requests, and none in time of large ones.
    it("stays within its bounds", () => {
        assert.equal(computeQuotaRetryMs({ quotaPerSecond: 10_000 }, 1), 100);
        assert.equal(computeQuotaRetryMs({ quotaPerSecond: 10_000 }, 1_000_000), 1_000);
    });
});
