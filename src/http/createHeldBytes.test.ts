import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createHeldBytes } from "./createHeldBytes";

interface Holder {
    readonly name: string;
}

const [a, b, c] = ["a", "b", "c"].map((name): Holder => ({ name })) as [Holder, Holder, Holder];

describe("the bytes that connections hold together", () => {
    const createRecord = (bytesMax: number) => {
        const closed: string[] = [];
        return { closed, held: createHeldBytes<Holder>(bytesMax, ({ name }) => void closed.push(name)) };
    };

    // Guards against: the connection that has just begun to hold bytes is closed for one that never reads.
    it("close the one that has held some for longest beyond the limit", () => {
        const { closed, held } = createRecord(100);
        held.setBytes(a, 40);
        held.setBytes(b, 40);
        held.setBytes(a, 50);
        assert.deepEqual(closed, []);
        held.setBytes(c, 40);
        assert.deepEqual(closed, ["a"]);
        assert.equal(held.countBytes(), 80);
    });

    it("never close a single holder, whatever it holds", () => {
        const { closed, held } = createRecord(100);
        held.setBytes(a, 1_000);
        assert.deepEqual(closed, []);
        held.setBytes(b, 1);
        assert.deepEqual(closed, ["a"]);
    });

    it("forget what a holder has given back", () => {
        const { closed, held } = createRecord(100);
        held.setBytes(a, 60);
        held.setBytes(a, 0);
        held.setBytes(b, 60);
        held.setBytes(a, 40);
        assert.deepEqual(closed, []);
        held.setBytes(c, 1);
        assert.deepEqual(closed, ["b"]);
    });
});
