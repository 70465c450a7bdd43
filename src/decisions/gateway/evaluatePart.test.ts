import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeHoldMs, evaluatePart, isConvicted, type PartFacts, PartVerdict } from "./evaluatePart";

const makeFacts = (changes: Partial<PartFacts>): PartFacts => ({
    crashTimes: [1_000, 2_000],
    answers: 0,
    isFamiliar: false,
    otherCrashes: 0,
    controls: 0,
    isQuarantined: false,
    ...changes,
});
const FIRST = { share: 0, nodes: 9 };

describe("the conviction of a prompt part", () => {
    it("needs separate crashes, more of them beside many others, and answers without it against a familiar part", () => {
        const cases: readonly (readonly [Partial<PartFacts>, number, boolean])[] = [
            [{}, 2_000, true],
            [{ crashTimes: [1_000] }, 9_000, false],
            [{ crashTimes: [1_000, 1_900] }, 1_950, false],
            [{ crashTimes: [1_000, 1_200, 1_400] }, 9_000, false],
            [{ otherCrashes: 4 }, 9_000, false],
            [{ otherCrashes: 400, crashTimes: [1_000, 2_000, 3_000, 4_000] }, 9_000, true],
            [{ answers: 50 }, 9_000, false],
            [{ answers: 50, crashTimes: [1_000, 2_000, 3_000], isFamiliar: true, controls: 0 }, 9_000, false],
            [{ answers: 50, crashTimes: [1_000, 2_000, 3_000], isFamiliar: true, controls: 3 }, 9_000, true],
        ];
        for (const [changes, nowMs, expected] of cases) {
            assert.equal(isConvicted(makeFacts(changes), nowMs), expected, JSON.stringify([changes, nowMs]));
        }
    });
});

describe("the verdict on a request with a prompt part", () => {
    it("is free without evidence, and for a familiar part after one crash", () => {
        assert.equal(evaluatePart(undefined, FIRST, 5_000).verdict, PartVerdict.Free);
        const familiar = makeFacts({ crashTimes: [1_000], isFamiliar: true });
        assert.equal(evaluatePart(familiar, FIRST, 1_000).verdict, PartVerdict.Free);
    });

    it("holds an unfamiliar part until evidence has arrived, at most nodes longer, and then lets one request through", () => {
        const facts = makeFacts({ crashTimes: [1_000] });
        assert.deepEqual(evaluatePart(facts, FIRST, 1_400), { verdict: PartVerdict.Held, waitMs: 600 });
        assert.equal(evaluatePart(facts, FIRST, 2_000).verdict, PartVerdict.Careful);
        assert.equal(evaluatePart(facts, { share: 0.5, nodes: 9 }, 2_000).verdict, PartVerdict.Held);
    });

    it("says how long the quarantine lasts, twice as long after each failed try", () => {
        const facts = makeFacts({ isQuarantined: true });
        assert.deepEqual(evaluatePart(facts, FIRST, 3_000), { verdict: PartVerdict.Quarantined, waitMs: 59_000 });
        assert.equal(evaluatePart(facts, FIRST, 62_000).verdict, PartVerdict.Careful);
        assert.equal(computeHoldMs([0, 700, 62_000]), 120_000);
        assert.equal(computeHoldMs([0, 60_000, 180_000, 420_000, 900_000]), 480_000);
    });
});
