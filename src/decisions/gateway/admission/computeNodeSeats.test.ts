import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeNodeSeats } from "./computeNodeSeats";

const NODE = { running: 0, share: 0.5, isRefused: false };
const reports = (count: number, ageMs = 100) => ({ count, ageMs });

// Guards against: several nodes that take the same free slots, and seats by knowledge that is out of date.
describe("the seats of a node", () => {
    it("are its share of all slots while the others use theirs", () => {
        const endpoints = [
            { slots: 8, reported: reports(10), named: undefined },
            { slots: 8, reported: reports(10), named: undefined },
        ];
        assert.equal(computeNodeSeats(endpoints, NODE).seats, 10);
    });
    it("grow by the same share of what the others leave unused", () => {
        const endpoints = [{ slots: 16, reported: reports(0), named: undefined }];
        assert.equal(computeNodeSeats(endpoints, NODE).seats, 15, "20 seats for 16 slots");
    });
    it("follow the load that the endpoint itself names, if that is newer", () => {
        const slots = 8;
        const full = computeNodeSeats([{ slots, reported: reports(2), named: reports(8, 20) }], NODE);
        assert.ok(full.isNearFull);
        const old = computeNodeSeats([{ slots, reported: reports(2), named: reports(8, 1_500) }], NODE);
        assert.ok(!old.isNearFull);
    });
    it("take knowledge that is too old for none", () => {
        const endpoints = [{ slots: 8, reported: reports(8, 3_000), named: reports(8, 2_500) }];
        assert.ok(!computeNodeSeats(endpoints, NODE).isNearFull);
    });
    it("count endpoints that have just refused as nearly full", () => {
        const endpoints = [{ slots: 8, reported: reports(0), named: undefined }];
        assert.ok(computeNodeSeats(endpoints, { ...NODE, isRefused: true }).isNearFull);
    });
    it("are none without endpoints", () => {
        assert.equal(computeNodeSeats([], NODE).seats, 0);
    });
});
