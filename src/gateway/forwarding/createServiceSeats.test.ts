import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../base/createManualClock";
import { makeEndpoint } from "../_testing/makeEndpoint";
import { createEndpointRecord, recordLoad, recordOthers } from "../endpoints/endpointRecord";
import { createServiceSeats, type ServiceSeatsOptions } from "./createServiceSeats";

const DISTANCE = { roundTripMs: 0, penaltyMs: 0 };
const ANSWER = { load: { running: 0, waiting: 0, slots: 8, pace: 100 } };
const REFUSAL = { ...ANSWER, isNotExecuted: true, isMisdirected: false, isLeaving: false };

/** Creates the seats of one of two nodes, with an endpoint of 8 slots in its own region and one in another. */
function createSubject({ fleet = 0, ofFleet = 1, isInTouch = true, hasPace = true } = {}) {
    const clock = createManualClock();
    const [near, far] = ["near", "far"].map(failureDomain => {
        const record = createEndpointRecord(makeEndpoint(failureDomain, { failureDomain, slots: 8 }), DISTANCE, clock);
        recordLoad(record, { running: 0, waiting: 0, slots: 8, ...(hasPace ? { pace: 100 } : {}) }, 0);
        return record;
    });
    assert.ok(near !== undefined && far !== undefined);
    const records = [near, far];
    const seats = createServiceSeats(
        {
            settings: { regions: { near: "r-1", far: "r-2" } },
            clock,
            directory: { listUsable: () => records, listAll: () => records },
            evacuations: { readDomains: () => new Set() },
            limits: { computeWaitMs: () => 0 },
            coldEndpoints: { computeWaitMs: () => 0 },
            news: {
                isInTouch: () => isInTouch,
                readLoad: () => ({ tokensPerSecond: 0, inFlight: fleet }),
                readUsage: () => ({ nodes: 2, reachable: 2, ...(isInTouch ? { arrivals: { chat: ofFleet } } : {}) }),
            },
        } as unknown as ServiceSeatsOptions,
        "chat",
    );
    seats.recordAnswer(ANSWER as never);
    return { clock, near, far, seats };
}
/** After this the loads that the endpoints have named count no more. */
const LOAD_OLD_MS = 3_000;

describe("the seats of a service", () => {
    // Guards against: work for services whose endpoints report no pace.
    it("are none if the endpoints report no pace", () => {
        const { seats } = createSubject({ hasPace: false });
        assert.equal(seats.readSeats(0), undefined);
        assert.equal(seats.readArrivals(), undefined, "and the arrivals aren't reported");
    });

    // Guards against: endpoints of other regions count as idle, since what the others do there isn't reported one by one.
    it("count what all nodes do for the service in other regions", () => {
        const { clock, near, seats } = createSubject({ fleet: 16 });
        clock.advanceMs(LOAD_OLD_MS);
        recordOthers(near, { inFlight: 7, pendingTokens: 0 }, clock.readMonotonicMs());
        assert.equal(seats.readSeats(0)?.isNearFull, true);
    });

    it("count waiting requests of all nodes as no more than full endpoints of other regions", () => {
        const { clock, near, seats } = createSubject({ fleet: 500 });
        clock.advanceMs(LOAD_OLD_MS);
        recordOthers(near, { inFlight: 0, pendingTokens: 0 }, clock.readMonotonicMs());
        assert.equal(seats.readSeats(0)?.isNearFull, false);
    });

    // Guards against: a node to which most callers come has as few seats as the others.
    it("are by this node's part of the arrivals of all nodes", () => {
        const { seats } = createSubject({ ofFleet: 100 });
        for (let index = 0; index < 30; index++) {
            seats.recordArrival();
        }
        assert.equal(seats.readArrivals(), 69);
        const expected = 0.693 * (20 + 20 - 0.693 * 20);
        assert.ok(Math.abs((seats.readSeats(0)?.seats ?? 0) - expected) < 0.1);
    });

    it("are by the number of nodes without state reports", () => {
        assert.equal(createSubject({ isInTouch: false }).seats.readSeats(0)?.seats, 15);
    });

    // Guards against: requests at an endpoint that refuses take the seats at the others.
    it("leave out endpoints that take no requests, with what this node does there", () => {
        const { clock, near, far, seats } = createSubject();
        near.ownInFlight = 8;
        assert.equal(seats.readSeats(8)?.running, 8);
        near.refusedUntilMs = Number.POSITIVE_INFINITY;
        clock.advanceMs(50);
        const { running, isNearFull } = seats.readSeats(8) ?? {};
        assert.deepEqual([running, isNearFull], [0, false]);
        far.suspectUntilMs = Number.POSITIVE_INFINITY;
        clock.advanceMs(50);
        assert.equal(seats.readSeats(8), undefined);
    });

    it("count as those of nearly full endpoints for a second after a refusal", () => {
        const { clock, seats } = createSubject();
        seats.recordAnswer(REFUSAL as never);
        assert.equal(seats.readSeats(0)?.isNearFull, true);
        clock.advanceMs(1_000);
        assert.equal(seats.readSeats(0)?.isNearFull, false);
    });

    // Guards against: a load that makes no sense fills an endpoint or gives it endless room.
    for (const load of [
        { running: 100_000, waiting: 0, slots: 8, pace: 100 },
        { running: 0, waiting: 0, slots: 0, pace: 100 },
    ]) {
        it(`ignore a load with ${load.running} requests and ${load.slots} slots`, () => {
            const { clock, near, seats } = createSubject();
            recordLoad(near, load, 0);
            clock.advanceMs(50);
            const { isNearFull, seats: count } = seats.readSeats(0) ?? {};
            assert.deepEqual([isNearFull, count], [false, 20], "1.25 times the slots of the entries");
        });
    }
});
