import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../base/createManualClock";
import { createIdleConnections, QUIET_MS } from "./createIdleConnections";

interface Connection {
    readonly name: string;
    readonly address: string;
    bytes: number;
    looks: number;
    countUnfinishedBytes(): number;
}

function makeConnection(name: string, address = "10.0.0.1"): Connection {
    const connection: Connection = {
        name,
        address,
        bytes: 0,
        looks: 0,
        countUnfinishedBytes: () => {
            connection.looks++;
            return connection.bytes;
        },
    };
    return connection;
}

function createRecord() {
    const clock = createManualClock();
    const record = createIdleConnections<Connection>(clock);
    const add = (connection: Connection) => {
        record.addIdle(connection);
        clock.advanceMs(1);
        return connection;
    };
    /** Closes what is chosen for a new connection; gives its name. */
    const close = (address = "10.0.0.9", quietMs = QUIET_MS) => {
        const chosen = record.chooseLongestIdle(address, quietMs);
        if (chosen !== undefined) {
            record.removeIdle(chosen.candidate);
        }
        return chosen && `${chosen.candidate.name}${chosen.isUnfinished ? " unfinished" : ""}`;
    };
    return { clock, record, add, close };
}

describe("the connection that is closed for a new one", () => {
    it("is the longest idle, and never one with an open request or with a request perhaps on the way", () => {
        const { clock, record, add, close } = createRecord();
        const [first, second, third] = ["first", "second", "third"].map(name => add(makeConnection(name)));
        assert.equal(close(), undefined);
        clock.advanceMs(QUIET_MS);
        record.removeIdle(first as Connection);
        assert.equal(close(), "second");
        record.addIdle(first as Connection);
        assert.equal(close(), "third");
        assert.equal(close(), undefined);
        clock.advanceMs(QUIET_MS);
        assert.equal(close(), "first");
        assert.equal(close(), undefined);
        assert.ok(second !== undefined && third !== undefined);
    });

    it("is one within a head only after all that are idle, and not one that still sends", () => {
        const { clock, add, close } = createRecord();
        const silent = add(makeConnection("silent"));
        const slow = add(makeConnection("slow"));
        add(makeConnection("idle"));
        silent.bytes = 4;
        slow.bytes = 4;
        clock.advanceMs(QUIET_MS);
        assert.equal(close(), "idle");
        assert.equal(close(), undefined, "just seen to have sent bytes");
        clock.advanceMs(QUIET_MS);
        slow.bytes = 5;
        assert.equal(close(), "silent unfinished");
        assert.equal(close(), undefined);
        clock.advanceMs(QUIET_MS);
        assert.equal(close(), "slow unfinished");
    });

    // Guards against: one address opens connections without end, and all other callers lose their kept ones.
    it("is one of the same address if that holds more than its share", () => {
        const { clock, add, close } = createRecord();
        ["10.0.0.1", "10.0.0.2"].forEach(address => add(makeConnection("sound", address)));
        Array.from({ length: 50 }, (_, index) => add(makeConnection(`flood ${index}`, "10.0.0.3")));
        clock.advanceMs(QUIET_MS);
        for (let index = 0; index < 200; index++) {
            assert.match(close("10.0.0.3") ?? "", /^flood/);
            add(makeConnection("flood", "10.0.0.3"));
            clock.advanceMs(QUIET_MS);
        }
        assert.equal(close("10.0.0.1"), "sound");
    });

    // Guards against: callers behind one busy address are refused while idle connections of others hold the places.
    it("is the longest idle of all if none of the same address is quiet", () => {
        const { clock, add, close } = createRecord();
        ["10.0.0.1", "10.0.0.2", "10.0.0.3"].forEach(address => add(makeConnection(`idle ${address}`, address)));
        clock.advanceMs(QUIET_MS);
        Array.from({ length: 5 }, (_, index) => add(makeConnection(`busy ${index}`, "10.0.0.4")));
        assert.equal(close("10.0.0.4"), "idle 10.0.0.1");
    });

    // Guards against: callers that use their kept connections in turn lose each one before its next request.
    it("is none that was used within the given time", () => {
        const { clock, add, close } = createRecord();
        add(makeConnection("kept"));
        clock.advanceMs(4_900);
        assert.equal(close("10.0.0.9", 5_000), undefined);
        clock.advanceMs(100);
        assert.equal(close("10.0.0.9", 5_000), "kept");
    });

    // Guards against: each accepted connection looks at all others, and a flood of them holds the process.
    it("is found by a number of looks that doesn't grow with the connections", () => {
        const { clock, add, close } = createRecord();
        const connections = Array.from({ length: 20_000 }, (_, index) => add(makeConnection(String(index))));
        connections.slice(0, 5_000).forEach(connection => (connection.bytes = 1));
        clock.advanceMs(QUIET_MS);
        for (let index = 0; index < 15_000; index++) {
            assert.equal(close(), String(5_000 + index));
        }
        const looks = connections.reduce((sum, connection) => sum + connection.looks, 0);
        assert.ok(looks <= 20_000, `${looks} looks`);
    });
});
