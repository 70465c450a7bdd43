import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../base/createManualClock";
import { makeEndpoint } from "../_testing/makeEndpoint";
import {
    buildEndpointView,
    createEndpointRecord,
    estimateInFlight,
    readPaceSince,
    recordLoad,
    recordOthers,
} from "./endpointRecord";

describe("the record of an endpoint", () => {
    const create = () =>
        createEndpointRecord(makeEndpoint("i-1"), { roundTripMs: 0, penaltyMs: 0 }, createManualClock());

    it("counts what other nodes do there while their reports are recent", () => {
        const record = create();
        record.ownInFlight = 2;
        record.pendingTokens = 1_000;
        recordOthers(record, { inFlight: 5, pendingTokens: 9_000 }, 0);
        const { occupancy, pendingTokens } = buildEndpointView(record, [], 200);
        assert.deepEqual([occupancy, pendingTokens], [7, 10_000]);
        const later = buildEndpointView(record, [], 5_000);
        assert.deepEqual([later.occupancy, later.pendingTokens], [2, 1_000]);
    });

    it("goes by the endpoint's own load while no other node reports", () => {
        const record = create();
        recordLoad(record, { running: 8, waiting: 2, slots: 12 }, 0);
        assert.equal(buildEndpointView(record, [], 0).occupancy, 10);
        recordOthers(record, { inFlight: 1, pendingTokens: 0 }, 0);
        assert.equal(buildEndpointView(record, [], 0).occupancy, 1);
    });

    // Guards against: decisions by sums that are older than what an answer has just said.
    it("has in progress what its last answer said, and after a quarter of a second what the sums say", () => {
        const record = create();
        record.ownInFlight = 2;
        recordOthers(record, { inFlight: 1, pendingTokens: 0 }, 0);
        assert.equal(estimateInFlight(record, 0), 3);
        recordLoad(record, { running: 8, waiting: 4, slots: 12 }, 100);
        record.ownInFlight = 5;
        assert.equal(estimateInFlight(record, 200), 15);
        assert.equal(estimateInFlight(record, 400), 6);
    });

    it("has a pace only while the endpoint reports one", () => {
        const record = create();
        recordLoad(record, { running: 1, waiting: 0, slots: 12 }, 0);
        assert.ok(!("pace" in buildEndpointView(record, [], 0)));
        recordLoad(record, { running: 1, waiting: 0, slots: 12, pace: 250 }, 10);
        assert.equal(buildEndpointView(record, [], 10).pace, 250);
        assert.deepEqual([readPaceSince(record, 5), readPaceSince(record, 20)], [250, undefined]);
        recordLoad(record, { running: 1, waiting: 0, slots: 12 }, 30);
        assert.ok(!("pace" in buildEndpointView(record, [], 30)));
    });
});
