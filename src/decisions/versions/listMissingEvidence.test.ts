import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../base/createRandom";
import { EMPTY_COUNTS } from "./emptyCounts";
import { ALL_ROUTES, listMissingEvidence } from "./listMissingEvidence";
import { type CellCounts, LoadLevel, Measure, type MeasureCounts } from "./versionEvidence";

const RUNS = 2_000;

function makeCounts(trials: number, failed: number, slow: number): MeasureCounts {
    return {
        ...EMPTY_COUNTS,
        [Measure.Failures]: { trials, bad: failed },
        [Measure.FirstToken]: { trials, bad: slow },
    };
}

function makeCell(route: string, old: MeasureCounts, next: MeasureCounts): CellCounts {
    return { route, loadLevel: LoadLevel.Low, old, next };
}

const OLD = makeCounts(500, 2, 25);

/** Draws how many of some attempts are bad. */
function drawBad(trials: number, rate: number, random: ReturnType<typeof createRandom>): number {
    return Array.from({ length: trials }, () => random.drawFraction() < rate).filter(Boolean).length;
}

describe("the evidence for a version on trial", () => {
    it("is missing without attempts of either version", () => {
        assert.notDeepEqual(listMissingEvidence([]), []);
        assert.notDeepEqual(listMissingEvidence([makeCell(ALL_ROUTES, OLD, EMPTY_COUNTS)]), []);
        assert.notDeepEqual(listMissingEvidence([makeCell(ALL_ROUTES, EMPTY_COUNTS, makeCounts(50, 0, 0))]), []);
    });

    it("is missing on a route with a part of the requests and no attempts of the new version", () => {
        const all = makeCell(ALL_ROUTES, OLD, makeCounts(50, 0, 2));
        assert.deepEqual(listMissingEvidence([all]), []);
        const unseen = makeCell("rare", makeCounts(100, 0, 5), EMPTY_COUNTS);
        assert.notDeepEqual(listMissingEvidence([all, unseen]), []);
    });

    // Guards against: a version with a fault in half of its answers is completed since no test has raised an alarm.
    for (const [fault, failureRate, slowRate] of [
        ["fails half of its requests", 0.5, 0.05],
        ["is slow in half of its answers", 0.004, 0.5],
        ["fails a third of its requests", 0.32, 0.05],
    ] as const) {
        it(`is not given to a version that ${fault}, in 99 of 100 trials`, () => {
            const random = createRandom(7);
            let proved = 0;
            for (let run = 0; run < RUNS; run++) {
                const next = makeCounts(40, drawBad(40, failureRate, random), drawBad(40, slowRate, random));
                proved += listMissingEvidence([makeCell(ALL_ROUTES, OLD, next)]).length === 0 ? 1 : 0;
            }
            assert.ok(proved <= RUNS / 100, `${proved} of ${RUNS}`);
        });
    }

    it("is given to a good version by 40 attempts in nine of ten trials", () => {
        const random = createRandom(8);
        let proved = 0;
        for (let run = 0; run < RUNS; run++) {
            const next = makeCounts(40, drawBad(40, 0.004, random), drawBad(40, 0.05, random));
            proved += listMissingEvidence([makeCell(ALL_ROUTES, OLD, next)]).length === 0 ? 1 : 0;
        }
        assert.ok(proved >= 0.9 * RUNS, `${proved} of ${RUNS}`);
    });
});
