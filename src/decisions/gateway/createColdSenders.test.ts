import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { type ColdSenders, createColdSenders, MEMBER_LIST_VALID_MS, SENDER_DELAY_MS } from "./createColdSenders";

const NODES = ["n-1", "n-2", "n-3", "n-4", "n-5"];
const IDS = Array.from({ length: 200 }, (_unused, index) => `i-${index}`);
const PERIOD_MS = 2_000;

describe("the sender of a failure domain", () => {
    let senders: ColdSenders;
    let nowMs: number;
    beforeEach(() => {
        nowMs = 0;
        senders = createColdSenders("n-1");
    });
    const passLists = (nodes: readonly string[], durationMs: number, isAlone = false) => {
        for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += PERIOD_MS) {
            senders.recordMembers(nodes, isAlone, nowMs);
        }
        senders.recordMembers(nodes, isAlone, nowMs);
    };
    const countChosen = () => IDS.filter(id => senders.isSender(id, nowMs)).length;

    it("is one node for each endpoint, and each node for about as many", () => {
        passLists(NODES, SENDER_DELAY_MS);
        const others = NODES.slice(1).map(name => {
            const other = createColdSenders(name);
            for (let atMs = 0; atMs <= nowMs; atMs += PERIOD_MS) {
                other.recordMembers(NODES, false, atMs);
            }
            return other;
        });
        for (const id of IDS) {
            assert.equal([senders, ...others].filter(each => each.isSender(id, nowMs)).length, 1);
        }
        assert.ok(countChosen() > 20 && countChosen() < 60);
    });

    // Guards against: a node that is chosen since another one left sends while that one doesn't know of it yet.
    it("begins only after the lists have chosen it for longer than a list is valid", () => {
        passLists(NODES, SENDER_DELAY_MS);
        const before = countChosen();
        senders.recordMembers(NODES.slice(0, 4), false, nowMs);
        assert.equal(countChosen(), before);
        passLists(NODES.slice(0, 4), SENDER_DELAY_MS - PERIOD_MS);
        assert.equal(countChosen(), before);
        passLists(NODES.slice(0, 4), SENDER_DELAY_MS);
        assert.ok(countChosen() > before);
    });

    it("ends with the first list that chooses another, and with the last valid list", () => {
        passLists(NODES.slice(0, 4), SENDER_DELAY_MS);
        const before = countChosen();
        senders.recordMembers(NODES, false, nowMs);
        assert.ok(countChosen() < before);
        nowMs += MEMBER_LIST_VALID_MS;
        assert.equal(countChosen(), 0);
    });

    it("starts anew after a gap between lists", () => {
        passLists(NODES, SENDER_DELAY_MS);
        nowMs += MEMBER_LIST_VALID_MS;
        senders.recordMembers(NODES, false, nowMs);
        assert.equal(countChosen(), 0);
    });

    // Guards against: the smaller side of a cut, or a new relay that has heard few nodes, chooses senders of its own.
    it("is chosen by no list without most of the known members, without this node, or of a node that hears nobody", () => {
        senders.recordKnown(NODES, nowMs);
        passLists(NODES.slice(0, 2), SENDER_DELAY_MS * 2);
        assert.equal(countChosen(), 0);
        passLists(NODES.slice(1), SENDER_DELAY_MS * 2);
        assert.equal(countChosen(), 0);
        passLists(NODES, SENDER_DELAY_MS * 2, true);
        assert.equal(countChosen(), 0);
    });
});
