import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createOrderedSet } from "./createOrderedSet";

describe("createOrderedSet", () => {
    it("gives its items in the order in which they were put in, whatever is removed", () => {
        const set = createOrderedSet<number>();
        [1, 2, 3, 4].forEach(set.add);
        set.remove(2);
        set.add(1);
        const taken: number[] = [];
        for (let item = set.getFirst(); item !== undefined; item = set.getFirst()) {
            taken.push(item);
            set.remove(item);
        }
        assert.deepEqual(taken, [3, 4, 1]);
        assert.equal(set.count(), 0);
        set.add(5);
        assert.equal(set.getFirst(), 5);
        assert.equal(set.remove(2), false);
        assert.equal(set.has(5), true);
    });
});
