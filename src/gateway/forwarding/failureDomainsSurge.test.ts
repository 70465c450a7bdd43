import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { compareDomainChoices, readSurge } from "../_testing/compareDomainChoices";

/** Differences between seeds on the same code are as great (docs/design/spillover.md). */
const ON_TIME_TOLERANCE = 0.004;

const CASES = [
    { name: "usual objective", options: { readDemand: readSurge } },
    { name: "strict objective", options: { readDemand: readSurge, objectiveMs: 400 } },
];

describe("61 nodes before 63 endpoints, a surge of the callers of one failure domain", () => {
    for (const { name, options } of CASES) {
        // Guards against: bytes that are charged without more answers on time.
        it(`serve as many on time with fewer bytes by spillover: ${name}`, context => {
            const { penalty, spillover } = compareDomainChoices(options, line => {
                context.diagnostic(line);
            });
            assert.ok(spillover.onTimeShare >= penalty.onTimeShare - ON_TIME_TOLERANCE);
            assert.ok(spillover.bytesBetweenDomains <= penalty.bytesBetweenDomains / 2);
            assert.ok(spillover.needlessShare < 0.05);
        });
    }
});
