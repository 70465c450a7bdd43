import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { compareDomainChoices, isReclaimedFifth, readSurge, UNEVEN_PACE } from "../_testing/compareDomainChoices";

/** Differences between seeds on the same code are as great (docs/design/spillover.md). */
const ON_TIME_TOLERANCE = 0.004;

const CASES = [
    {
        name: "even pace",
        options: { readDemand: (domain: number) => (domain === 0 ? 0.95 : 0.6), isReclaimed: isReclaimedFifth },
    },
    {
        name: "uneven pace, and a surge of callers",
        options: { readDemand: readSurge, isReclaimed: isReclaimedFifth, ...UNEVEN_PACE },
    },
];

describe("61 nodes before 63 endpoints, a fifth of the endpoints of one failure domain reclaimed", () => {
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
