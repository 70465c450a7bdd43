import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseCanaries } from "./chooseCanaries";

const TARGETS = Array.from({ length: 12 }, (_unused, index) => `i-${index}`);

describe("the endpoints of a trial", () => {
    it("are one for few endpoints of the old version, and more for many", () => {
        assert.equal(chooseCanaries(TARGETS, 3).length, 1);
        assert.equal(chooseCanaries(TARGETS, 62).length, 3);
        assert.deepEqual(chooseCanaries([], 62), []);
    });

    it("are the same at all nodes, and stay if another endpoint goes", () => {
        const chosen = chooseCanaries(TARGETS, 62);
        assert.deepEqual(chooseCanaries([...TARGETS].reverse(), 62), chosen);
        const without = TARGETS.filter(id => id !== TARGETS.find(other => !chosen.includes(other)));
        assert.deepEqual(chooseCanaries(without, 62), chosen);
    });
});
