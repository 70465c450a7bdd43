import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { countSenders, mergeLimits } from "./mergeLimits";
import type { LimitReports } from "./news";

const makeReports = (node: number, perSecond = 3, atMs = 100): LimitReports => ({
    "i-1": { perSecond, atMs, senders: [`n-${String(node).padStart(3, "0")}`] },
});

describe("reports on limits", () => {
    it("name few senders, and the same ones in whatever order they are merged", () => {
        const list = Array.from({ length: 40 }, (_unused, node) => makeReports(node));
        const whole = mergeLimits(list);
        const halves = mergeLimits([
            mergeLimits(list.slice(20)),
            mergeLimits(list.slice(0, 20)),
            mergeLimits(list.slice(5)),
        ]);
        assert.equal(whole["i-1"]?.senders.length, countSenders(3));
        assert.deepEqual(halves, whole);
    });

    // Guards against: what nodes send of limits grows with the number of nodes.
    it("are no longer with 400 nodes than with 20", () => {
        const measure = (nodes: number) =>
            JSON.stringify(mergeLimits(Array.from({ length: nodes }, (_unused, node) => makeReports(node, 100))))
                .length;
        assert.equal(measure(400), measure(20));
    });

    it("have the limit of the newest answer, or none", () => {
        const ended = { "i-1": { perSecond: undefined, atMs: 300, senders: [] } };
        for (const list of [
            [makeReports(1), makeReports(2, 5, 200)],
            [makeReports(2, 5, 200), makeReports(1)],
        ]) {
            assert.equal(mergeLimits(list)["i-1"]?.perSecond, 5);
            assert.deepEqual(mergeLimits([...list, ended])["i-1"], { ...ended["i-1"] });
        }
    });

    it("are kept of so many endpoints, the newest answers first", () => {
        const list = Array.from({ length: 100 }, (_unused, index) => ({
            [`i-${index}`]: { perSecond: 1, atMs: index, senders: [] },
        }));
        const merged = mergeLimits(list);
        assert.equal(Object.keys(merged).length, 64);
        assert.ok(merged["i-99"] !== undefined && merged["i-0"] === undefined);
    });
});
