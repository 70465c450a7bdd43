import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeNextStepMs } from "./computeNextStepMs";
import { planRollout } from "./planRollout";

const DURATION_MS = 6_000;
const { shiftMs, endMs, lateEndMs } = planRollout(DURATION_MS);

describe("the next step of an ordered move", () => {
    it("is the shift, then the end, then the end of a late shift", () => {
        const times: number[] = [];
        for (let elapsedMs = 0; times.length < 3;) {
            elapsedMs += computeNextStepMs(DURATION_MS, elapsedMs) ?? Number.NaN;
            times.push(elapsedMs);
        }
        assert.deepEqual(times, [shiftMs, endMs, lateEndMs]);
    });

    it("is not due after these", () => {
        assert.equal(computeNextStepMs(DURATION_MS, lateEndMs), undefined);
    });
});
