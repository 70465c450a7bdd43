import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { CRASH_RETENTION_MS, CRASHES_PER_PART_MAX, SUSPECTS_MAX } from "./constants";
import { advanceSuspects, mergeSuspects, sumClearances } from "./mergeSuspects";

function makeEvidence(crashes: Readonly<Record<string, number>>, clearances = 0) {
    return { crashes, clearances, earlierClearances: 0 };
}

describe("merged evidence on prompt parts", () => {
    it("is the same in any order and grouping, and however often it is repeated", () => {
        const evidence = fc.record({
            crashes: fc.dictionary(fc.constantFrom("c-1", "c-2", "c-3", "__proto__"), fc.nat(9_000), { minKeys: 1 }),
            clearances: fc.nat(9),
            earlierClearances: fc.nat(9),
        });
        const list = fc.array(fc.dictionary(fc.constantFrom("a", "b", "c"), evidence), { minLength: 1, maxLength: 6 });
        fc.assert(
            fc.property(list, suspects => {
                const merged = mergeSuspects(suspects, Math.max);
                const again = mergeSuspects([...suspects].reverse().concat(suspects, merged), Math.max);
                const grouped = suspects.reduce((left, right) => mergeSuspects([left, right], Math.max), {});
                assert.deepEqual(again, merged);
                assert.deepEqual(grouped, merged);
            }),
            { seed: 3 },
        );
    });

    it("takes the greater age of a crash, and sums the clearances of distinct nodes only", () => {
        const left = { p: makeEvidence({ "c-1": 700, "c-2": 10 }, 2) };
        const right = { p: makeEvidence({ "c-1": 650 }, 3) };
        const crashes = { "c-2": 10, "c-1": 700 };
        assert.deepEqual(mergeSuspects([left, right], sumClearances), { p: makeEvidence(crashes, 5) });
        assert.deepEqual(mergeSuspects([left, right], Math.max), { p: makeEvidence(crashes, 3) });
        assert.deepEqual(advanceSuspects(left, -40), left);
    });

    it("forgets crashes after the retention time, and then the part", () => {
        const suspects = advanceSuspects({ p: makeEvidence({ old: 9_000, late: 0 }) }, CRASH_RETENTION_MS - 5_000);
        assert.deepEqual(Object.keys(mergeSuspects([suspects], Math.max)["p"]?.crashes ?? {}), ["late"]);
        assert.deepEqual(mergeSuspects([advanceSuspects(suspects, 5_000)], Math.max), {});
    });

    // Guards against evidence on a crashing part being pushed out by parts that only happened to be there.
    it("keeps the part without answers among many that crashes caught, and the latest crashes of each", () => {
        const popular = Array.from({ length: 40 }, (_unused, index) => [`p-${index}`, makeEvidence({ e: 1 }, 200)]);
        const caught = Array.from({ length: 40 }, (_unused, index) => [`a-${index}`, makeEvidence({ d: 3 })]);
        const crashes = Object.fromEntries(["a", "b", "c", "d", "e", "f"].map((key, index) => [key, 60 - index]));
        const list = [...popular, ...caught, ["zz", makeEvidence(crashes)]];
        const merged = mergeSuspects([Object.fromEntries(list)], sumClearances);
        assert.equal(Object.keys(merged).length, SUSPECTS_MAX);
        const kept = Object.keys(merged["zz"]?.crashes ?? {});
        assert.deepEqual([kept.length, kept[0]], [CRASHES_PER_PART_MAX, "f"]);
    });
});
