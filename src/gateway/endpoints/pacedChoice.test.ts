import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Random } from "../../base/random";
import { type PaceSimulation, pickQuantile, simulatePacedEndpoints } from "../_testing/simulatePacedEndpoints";

const SLOWER_SHARE = 1.5;
const PACES = [
    { pace: 80, share: 0.7 },
    { pace: 160, share: 0.2 },
    { pace: 320, share: 0.1 },
];
const CHANGE_MS = 150;
const FLEET = { seed: 5, nodes: 61, endpoints: 63 };
/** Herding builds up over seconds, so the comparison takes longer than the check that nothing is lost. */
const COMPARISON_MS = 4_000;
const EQUAL_PACES_MS = 1_600;

/** Draws a pace that changes about seven times a second; every fourth endpoint is slower on average. */
function drawPace(random: Random, endpoint: number) {
    const fraction = random.drawFraction();
    const pace = fraction < 0.7 ? 80 : fraction < 0.9 ? 160 : 320;
    const forMs = -Math.log(1 - random.drawFraction()) * CHANGE_MS;
    return { pace: (endpoint % 4 === 0 ? SLOWER_SHARE : 1) * pace, forMs };
}

const AVERAGE_PACE = PACES.reduce((sum, { pace, share }) => sum + pace * share, 0) * (0.75 + 0.25 * SLOWER_SHARE);

/** Gives the 95th percentile of the time to the first part without and with the reported pace, on the same paces. */
function compareChoices(
    options: Pick<PaceSimulation, "load" | "drawPace" | "averagePace" | "durationMs">,
): readonly [number, number] {
    const [before, after] = [false, true].map(reportsPace =>
        pickQuantile(simulatePacedEndpoints({ ...FLEET, ...options, reportsPace }), 0.95),
    );
    return [before ?? 0, after ?? 0];
}

// Each test guards against herding: 61 nodes that see the same old reports and choose the same endpoints.
describe("the choice of 61 nodes among 63 endpoints", () => {
    for (const { load, atMost } of [
        { load: 0.5, atMost: 0.85 },
        { load: 0.8, atMost: 0.6 },
        { load: 1.0, atMost: 0.6 },
    ]) {
        it(`begins answers earlier by the reported pace at ${load} of the capacity`, context => {
            const [before, after] = compareChoices({
                load,
                drawPace,
                averagePace: AVERAGE_PACE,
                durationMs: COMPARISON_MS,
            });
            context.diagnostic(
                `95th percentile: ${before.toFixed(0)} ms without, ${after.toFixed(0)} ms with the pace`,
            );
            assert.ok(after < before * atMost, `${after} ms instead of ${before} ms`);
        });

        it(`does not lose where all paces are equal, at ${load} of the capacity`, context => {
            const [before, after] = compareChoices({
                load,
                drawPace: () => ({ pace: 100, forMs: 1e9 }),
                averagePace: 100,
                durationMs: EQUAL_PACES_MS,
            });
            context.diagnostic(
                `95th percentile: ${before.toFixed(0)} ms without, ${after.toFixed(0)} ms with the pace`,
            );
            assert.ok(after <= before, `${after} ms instead of ${before} ms`);
        });
    }
});
