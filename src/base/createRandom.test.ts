import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "./createRandom";
import { createEntropySeededRandom } from "./createEntropySeededRandom";

const drawMany = (random: { drawInteger(low: number, high: number): number }) =>
    Array.from({ length: 50 }, () => random.drawInteger(1, 1_000_000));

describe("random number streams", () => {
    it("are equal for equal seeds and differ for different seeds", () => {
        assert.deepEqual(drawMany(createRandom(7)), drawMany(createRandom(7)));
        assert.notDeepEqual(drawMany(createRandom(7)), drawMany(createRandom(8)));
    });

    it("differ from each other when they are seeded from entropy", () => {
        assert.notDeepEqual(drawMany(createEntropySeededRandom()), drawMany(createEntropySeededRandom()));
    });
});
