import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeStopTimes } from "./computeStopTimes";
import { isServableBeforeStop } from "./isServableBeforeStop";

describe("the times of a stop", () => {
    it("come in order, and leave what is open to its end until the last sixth of the grace time", () => {
        for (const graceMs of [500, 3_000, 8_000, 30_000]) {
            const { takesAllMs, acceptsMs, endsRequestsMs, endsProcessMs } = computeStopTimes(graceMs);
            const inOrder = [0, takesAllMs, acceptsMs, (graceMs * 5) / 6, endsRequestsMs, endsProcessMs, graceMs];
            assert.deepEqual(
                [...inOrder].sort((left, right) => left - right),
                inOrder,
            );
        }
    });

    // Guards against: an average duration of requests stands where the longest one is needed.
    for (const [drainingMs, timeoutInMs, isServable] of [
        [2_700, 60_000, true],
        [2_900, 4_500, false],
        [2_900, 4_400, true],
        [7_300, 100, false],
    ] as const) {
        it(`${isServable ? "let" : "don't let"} a request of up to ${timeoutInMs} ms begin after ${drainingMs} ms`, () => {
            assert.equal(isServableBeforeStop(computeStopTimes(8_000), drainingMs, timeoutInMs), isServable);
        });
    }
});
