import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeScore, type Measures } from "./computeScore";
import { DEPLOYMENTS } from "./deployments";

const BEST: Measures = { costMicros: 80, recomputedTokens: 1_000, goodDone: 1, badTakenBack: 1 };
const EVEN = { cost: 1, recomputed: 1, goodDone: 1, badTakenBack: 1 };

describe("the score", () => {
    const cases: readonly { name: string; own: Measures; expected: number }[] = [
        { name: "is 100 for the best in all measures", own: BEST, expected: 100 },
        { name: "falls with cost", own: { ...BEST, costMicros: 160 }, expected: 87.5 },
        { name: "falls with recomputed tokens", own: { ...BEST, recomputedTokens: 4_000 }, expected: 81.25 },
        { name: "falls with good versions not done", own: { ...BEST, goodDone: 0.5 }, expected: 87.5 },
        { name: "falls with bad versions not taken back", own: { ...BEST, badTakenBack: 0 }, expected: 75 },
        { name: "gives nothing for infinite cost", own: { ...BEST, costMicros: Infinity }, expected: 75 },
    ];
    for (const { name, own, expected } of cases) {
        it(name, () => assert.equal(computeScore(own, [own, BEST], EVEN), expected));
    }

    it("gives full marks where nothing was recomputed by anyone, and none beside a policy without any", () => {
        const none = { ...BEST, recomputedTokens: 0 };
        assert.equal(computeScore(none, [none, none], EVEN), 100);
        assert.equal(computeScore(BEST, [BEST, none], EVEN), 75);
    });

    it("does not depend on the sum of the weights", () => {
        const own = { ...BEST, costMicros: 100 };
        const twice = { cost: 2, recomputed: 2, goodDone: 2, badTakenBack: 2 };
        assert.equal(computeScore(own, [own, BEST], twice), computeScore(own, [own, BEST], EVEN));
    });
});

describe("the weights", () => {
    const [derwent, latexboek] = DEPLOYMENTS.map(({ weights }) => weights);

    it("of Derwent count version outcomes more than cost and recomputed tokens", () => {
        assert.ok(derwent!.goodDone + derwent!.badTakenBack > derwent!.cost + derwent!.recomputed);
    });

    it("of Latexboek count cost and recomputed tokens more than version outcomes", () => {
        assert.ok(latexboek!.cost + latexboek!.recomputed > latexboek!.goodDone + latexboek!.badTakenBack);
    });
});
