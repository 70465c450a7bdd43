import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createServiceQueue } from "./createServiceQueue";
import { type AdmissionRequest, type NodeSeats, RefusalReason, type ServiceQueue } from "./serviceQueue";

const FULL: NodeSeats = { isNearFull: true, seats: 2, running: 2, free: 0 };
const ROOM: NodeSeats = { isNearFull: true, seats: 2, running: 1, free: 1 };
const LIGHT: NodeSeats = { isNearFull: false, seats: 2, running: 5, free: 20 };

function makeRequest(changes: Partial<AdmissionRequest> = {}): AdmissionRequest {
    return {
        rank: 1,
        account: "a",
        route: "r",
        cost: 100,
        bytes: 10,
        objectiveMs: 1_000,
        objectiveAtMs: 1_000,
        spread: 0,
        ...changes,
    };
}
const makeQueue = (bounds = { waitingMax: 100, bytesMax: 10_000 }) => createServiceQueue(bounds);
const listStarts = (queue: ServiceQueue) => {
    const started: string[] = [];
    for (let next = queue.takeNext(ROOM, 0); next !== undefined; next = queue.takeNext(ROOM, 0)) {
        started.push(`${next.request.rank}${next.request.account}${next.request.objectiveAtMs}`);
    }
    return started;
};

// Guards against: queuing in a lightly loaded deployment, or more requests at nearly full endpoints than there is room.
describe("an arriving request", () => {
    it("starts at once while the endpoints have room, whatever the share of the node", () => {
        assert.equal(makeQueue().decideArrival(makeRequest(), LIGHT, 0).kind, "start");
    });
    it("starts at once if a seat is free and nobody waits, also a late one", () => {
        assert.equal(makeQueue().decideArrival(makeRequest({ objectiveAtMs: -500 }), ROOM, 0).kind, "start");
    });
    it("waits behind others, also if a seat is free", () => {
        const queue = makeQueue();
        assert.equal(queue.decideArrival(makeRequest(), FULL, 0).kind, "wait");
        assert.equal(queue.decideArrival(makeRequest(), ROOM, 0).kind, "wait");
        assert.equal(queue.countWaiting(), 2);
    });
});

// Guards against: a node that has more requests than its seats keeps its queue although the endpoints have room again.
describe("waiting requests", () => {
    it("start beyond the seats of the node once the endpoints are no longer nearly full", () => {
        const queue = makeQueue();
        queue.decideArrival(makeRequest(), FULL, 0);
        assert.equal(queue.takeNext({ ...FULL, running: 5 }, 0), undefined);
        assert.notEqual(queue.takeNext(LIGHT, 0), undefined);
    });
});

// Guards against: less urgent requests first, an account with many requests before one with few.
describe("the order of the queue", () => {
    it("is by rank, then by account, then by slack", () => {
        const queue = makeQueue();
        for (const [rank, account, objectiveAtMs] of [
            [2, "a", 300],
            [1, "a", 900],
            [1, "a", 800],
            [1, "a", 850],
            [1, "b", 990],
        ] as const) {
            queue.decideArrival(makeRequest({ rank, account, objectiveAtMs }), FULL, 0);
        }
        assert.deepEqual(listStarts(queue), ["1a800", "1b990", "1a850", "1a900", "2a300"]);
    });
    it("gives accounts equal shares by cost", () => {
        const queue = makeQueue();
        for (let index = 0; index < 20; index++) {
            queue.decideArrival(makeRequest({ account: "large", cost: 300 }), FULL, 0);
            queue.decideArrival(makeRequest({ account: "small", cost: 100 }), FULL, 0);
        }
        const firsts = listStarts(queue).slice(0, 20);
        assert.equal(firsts.filter(name => name.includes("small")).length, 15);
    });
    it("gives an account that asked for nothing no more than a bounded credit", () => {
        const queue = makeQueue({ waitingMax: 1_000, bytesMax: 1e6 });
        for (let index = 0; index < 300; index++) {
            queue.decideArrival(makeRequest({ account: "busy" }), FULL, 0);
        }
        for (let index = 0; index < 100; index++) {
            queue.takeNext(ROOM, 0);
        }
        for (let index = 0; index < 60; index++) {
            queue.decideArrival(makeRequest({ account: "idle" }), FULL, 0);
        }
        const firsts = listStarts(queue).slice(0, 60);
        assert.ok(firsts.filter(name => name.includes("idle")).length <= 40);
    });
});

// Guards against: requests that are kept although they can't be on time, and retry times that lead to the same refusal.
describe("a request that can't be on time", () => {
    const makeSlowQueue = () => {
        const queue = makeQueue();
        queue.recordEnd(400);
        queue.recordFirstPart("r", 400);
        return queue;
    };
    it("is refused at once, with the time after which it could be", () => {
        const queue = makeSlowQueue();
        let refused = 0;
        for (let index = 0; index < 10; index++) {
            const decision = queue.decideArrival(makeRequest(), FULL, 0);
            if (decision.kind === "refuse") {
                refused++;
                assert.equal(decision.refusal.reason, RefusalReason.Late);
                // Two seats of 400 ms start one each 200 ms; three wait, the fourth would start after 800 ms, not 600.
                assert.equal(decision.refusal.retryAfterMs, 200);
            }
        }
        assert.deepEqual([refused, queue.countWaiting()], [7, 3]);
    });
    it("is refused at the moment at which it becomes late while it waits", () => {
        const queue = makeSlowQueue();
        queue.decideArrival(makeRequest(), FULL, 0);
        assert.equal(queue.dropLate(FULL, 599).length, 0);
        const [dropped] = queue.dropLate(FULL, 601);
        assert.equal(dropped?.reason, RefusalReason.Late);
        assert.deepEqual([queue.countWaiting(), queue.countBytes()], [0, 0]);
    });
    it("is refused if more urgent ones take the whole capacity", () => {
        const queue = makeSlowQueue();
        for (let atMs = 0; atMs < 10_000; atMs += 100) {
            queue.decideArrival(makeRequest({ rank: 0, objectiveAtMs: atMs + 1_000 }), FULL, atMs);
            queue.takeNext(ROOM, atMs);
        }
        queue.decideArrival(makeRequest({ rank: 0, objectiveAtMs: 11_000 }), FULL, 10_000);
        const decision = queue.decideArrival(makeRequest({ rank: 1, objectiveAtMs: 11_000 }), FULL, 10_000);
        assert.equal(decision.kind === "refuse" ? decision.refusal.reason : undefined, RefusalReason.Rank);
    });
    it("is never assumed by response times alone: a slow time ends", () => {
        const queue = makeQueue();
        queue.recordFirstPart("r", 60_000);
        assert.equal(queue.decideArrival(makeRequest(), FULL, 0).kind, "wait");
    });
});

// Guards against: a queue that takes the node's memory, and one account that fills it.
describe("a full queue", () => {
    for (const [name, bounds] of [
        ["requests", { waitingMax: 4, bytesMax: 10_000 }],
        ["bytes", { waitingMax: 100, bytesMax: 40 }],
    ] as const) {
        const makeFullQueue = () => {
            const queue = makeQueue(bounds);
            for (let index = 0; index < 4; index++) {
                queue.decideArrival(makeRequest({ objectiveAtMs: 500 + index }), FULL, 0);
            }
            return queue;
        };
        it(`refuses an equal request at its bound in ${name}`, () => {
            const queue = makeFullQueue();
            const decision = queue.decideArrival(makeRequest(), FULL, 0);
            assert.equal(decision.kind === "refuse" ? decision.refusal.reason : undefined, RefusalReason.Full);
            assert.equal(queue.countWaiting(), 4);
        });
        for (const [other, changes] of [
            ["a more urgent one", { rank: 0 }],
            ["one of an account that has few waiting", { account: "b" }],
        ] as const) {
            it(`makes room for ${other} at its bound in ${name}`, () => {
                const queue = makeFullQueue();
                const decision = queue.decideArrival(makeRequest(changes), FULL, 0);
                const displaced = decision.kind === "wait" ? decision.displaced : undefined;
                assert.equal(displaced?.entry.request.objectiveAtMs, 503);
                assert.deepEqual([queue.countWaiting(), queue.countBytes()], [4, 40]);
            });
        }
    }
});
