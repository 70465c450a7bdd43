import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RolloutPhase } from "../../model/gateway";
import { decideRolloutPhase, type RolloutFacts } from "./decideRolloutPhase";
import { planRollout } from "./planRollout";

const DURATION_MS = 15_000;
const { shiftMs, endMs, lateShiftMs, lateEndMs } = planRollout(DURATION_MS);
const FACTS: RolloutFacts = {
    phase: RolloutPhase.Trial,
    durationMs: DURATION_MS,
    elapsedMs: 0,
    phaseForMs: endMs - shiftMs,
    missing: [],
    hasTargets: true,
    isInUse: false,
};
const { Trial, Shifting, RolledBack, Completed } = RolloutPhase;

describe("the phase of an ordered move", () => {
    for (const [name, facts, expected] of [
        ["stays on trial before its end, however good it looks", { elapsedMs: shiftMs - 1 }, Trial],
        ["shifts a good version shortly before the end", { elapsedMs: shiftMs }, Shifting],
        ["does not shift an unproved version", { elapsedMs: shiftMs, missing: ["x"] }, Trial],
        ["does not shift without endpoints of the target", { elapsedMs: shiftMs, hasTargets: false }, Trial],
        [
            "shifts at the end if the target was the only version",
            { elapsedMs: shiftMs, missing: ["x"], isInUse: true },
            Shifting,
        ],
        ["completes a shifted move", { elapsedMs: endMs, phase: Shifting }, Completed],
        ["rolls an undecided move back", { elapsedMs: endMs, missing: ["x"] }, RolledBack],
        ["rolls back a move whose endpoints never came", { elapsedMs: endMs, hasTargets: false }, RolledBack],
        // Guards against: a good version is rolled back since its node looked a little late (missed duty).
        ["shifts a good version late rather than not at all", { elapsedMs: endMs }, Shifting],
        ["shifts a good version as long as requests can still move", { elapsedMs: lateShiftMs - 1 }, Shifting],
        ["rolls back a move that was not shifted in time", { elapsedMs: lateShiftMs }, RolledBack],
        // Guards against: the old endpoints are stopped at once after a late shift, with requests on them.
        [
            "leaves requests time to move after a late shift",
            { elapsedMs: endMs + 20, phase: Shifting, phaseForMs: 10 },
            Shifting,
        ],
        [
            "completes a late shift before the deadline",
            { elapsedMs: lateEndMs, phase: Shifting, phaseForMs: 100 },
            Completed,
        ],
        ["rolls back an unproved version late", { elapsedMs: DURATION_MS - 1, missing: ["x"] }, RolledBack],
        [
            "completes if the target was the only version",
            { elapsedMs: endMs, missing: ["x"], isInUse: true },
            Completed,
        ],
        ["keeps a rollback", { elapsedMs: endMs, phase: RolledBack }, RolledBack],
        ["keeps a completion", { elapsedMs: endMs, phase: Completed, missing: ["x"] }, Completed],
    ] as const) {
        it(name, () => {
            assert.equal(decideRolloutPhase({ ...FACTS, ...facts }).phase, expected);
        });
    }

    it("ends before the deadline, and shifts for less than a twentieth of the time", () => {
        for (const durationMs of [5_000, 15_000, 45 * 60_000]) {
            const times = planRollout(durationMs);
            assert.ok(times.endMs < durationMs && times.shiftMs < times.endMs);
            assert.ok(times.endMs < times.lateShiftMs && times.lateShiftMs < times.lateEndMs);
            assert.ok(times.lateEndMs < durationMs);
            assert.ok(durationMs - times.shiftMs <= 0.0601 * durationMs);
        }
    });
});
