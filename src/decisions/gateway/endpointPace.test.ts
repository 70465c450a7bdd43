import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../base/createRandom";
import { convertToUsualPace, type EndpointPace, estimatePace, updatePace } from "./endpointPace";

const RUN_MS = 200_000;

/** Gives the mean squared errors of three estimates for a pace that changes about seven times a second. */
function measureErrors(betweenReportsMs: number) {
    const random = createRandom(7);
    const drawExponential = (mean: number) => -Math.log(1 - random.drawFraction()) * mean;
    const errors = { estimated: 0, held: 0, usual: 0 };
    let known: EndpointPace | undefined;
    let [pace, changesAtMs, reportAtMs, count] = [150, 0, 0, 0];
    for (let nowMs = 0; nowMs < RUN_MS; nowMs += 5) {
        if (nowMs >= changesAtMs) {
            pace = random.drawFraction() < 0.7 ? 120 : 320;
            changesAtMs = nowMs + drawExponential(150);
        }
        if (nowMs >= reportAtMs) {
            known = updatePace(known, pace, nowMs);
            reportAtMs = nowMs + drawExponential(betweenReportsMs);
        }
        if (known !== undefined) {
            errors.estimated += (estimatePace(known, nowMs) - pace) ** 2;
            errors.held += (known.reported - pace) ** 2;
            errors.usual += (100 - pace) ** 2;
            count++;
        }
    }
    return { estimated: errors.estimated / count, held: errors.held / count, usual: errors.usual / count };
}

describe("the estimated pace of an endpoint", () => {
    for (const betweenReportsMs of [50, 300, 1_500]) {
        // Guards against a half-life that is wrong for a figure that changes many times a second.
        it(`errs less than the last report and than the usual pace, at a report every ${betweenReportsMs} ms`, context => {
            const { estimated, held, usual } = measureErrors(betweenReportsMs);
            context.diagnostic(
                `mean squared error: ${estimated.toFixed(0)}; held ${held.toFixed(0)}, usual ${usual.toFixed(0)}`,
            );
            assert.ok(estimated < held, `${estimated} and not below ${held}`);
            assert.ok(estimated < usual, `${estimated} and not below ${usual}`);
        });
    }

    it("is the report at once, then the average, and the usual pace in the end", () => {
        const known = { reported: 300, atMs: 0, average: 150 };
        assert.equal(estimatePace(known, 0), 300);
        assert.ok(Math.abs(estimatePace(known, 1_000) - 147) < 3);
        assert.ok(Math.abs(estimatePace(known, 120_000) - 100) < 1);
    });

    it("ignores a report that is older than the last one", () => {
        const known = updatePace(undefined, 200, 1_000);
        assert.equal(updatePace(known, 900, 500), known);
    });

    it("is taken out of a measured time", () => {
        assert.deepEqual([convertToUsualPace(60, 200), convertToUsualPace(60, undefined)], [30, 60]);
    });
});
