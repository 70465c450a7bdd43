import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EMPTY_COUNTS } from "../../decisions/versions/emptyCounts";
import { LoadLevel, Measure } from "../../decisions/versions/versionEvidence";
import { RolloutPhase } from "../../model/gateway";
import { decodeRollouts, encodeRollouts } from "./rolloutsCodec";

const CELL = {
    route: "r",
    loadLevel: LoadLevel.Low,
    old: { ...EMPTY_COUNTS, [Measure.Failures]: { trials: 40, bad: 1 } },
    next: { ...EMPTY_COUNTS, [Measure.FirstToken]: { trials: 9, bad: 4 } },
};
const REPORTS = { chat: { order: 103, phase: RolloutPhase.Shifting, cells: [CELL] } };

describe("reports on moves in the news", () => {
    it("are decoded as they were encoded", () => {
        assert.deepEqual(decodeRollouts(JSON.parse(JSON.stringify(encodeRollouts(REPORTS)))), REPORTS);
    });

    for (const [name, value, expected] of [
        ["nothing", undefined, {}],
        ["a text", "x", {}],
        ["a list", [1], {}],
        ["an unknown phase", { chat: [103, 9, []] }, {}],
        ["a negative order", { chat: [-1, 0, []] }, {}],
        ["a malformed cell", { chat: [103, 0, [["r", [1, 2], []]]] }, { chat: { order: 103, phase: 0, cells: [] } }],
        [
            "a malformed report beside a sound one",
            { chat: [103, 2, []], other: 7 },
            { chat: { order: 103, phase: 2, cells: [] } },
        ],
    ] as const) {
        it(`leave out ${name}`, () => assert.deepEqual(decodeRollouts(value), expected));
    }
});
