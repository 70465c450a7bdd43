import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "./createRandom";
import { createUnpredictableRandom } from "./createUnpredictableRandom";

const drawMany = (random: { drawInteger(low: number, high: number): number }) =>
    Array.from({ length: 50 }, () => random.drawInteger(1, 1_000_000));

describe("random streams", () => {
    it("repeat with the same seed and differ with another", () => {
        assert.deepEqual(drawMany(createRandom(7)), drawMany(createRandom(7)));
        assert.notDeepEqual(drawMany(createRandom(7)), drawMany(createRandom(8)));
    });

    it("never repeat without a seed", () => {
        assert.notDeepEqual(drawMany(createUnpredictableRandom()), drawMany(createUnpredictableRandom()));
    });
});
