import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { compareDomainChoices, UNEVEN_PACE } from "../_testing/compareDomainChoices";

/** Differences between seeds on the same code are as great (docs/design/spillover.md). */
const ON_TIME_TOLERANCE = 0.004;

const CASES = [
    { name: "even load", options: { readDemand: () => 0.7, durationMs: 6_000 } },
    { name: "uneven pace", options: { readDemand: () => 0.7, ...UNEVEN_PACE } },
    { name: "all full", options: { readDemand: () => 1.15, durationMs: 6_000 } },
];

describe("61 nodes before 63 endpoints of evenly loaded failure domains", () => {
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
