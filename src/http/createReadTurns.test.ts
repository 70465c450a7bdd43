import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createReadTurns, type ReadMessage, type ReadSocket } from "./createReadTurns";

/** Pieces of one read of 64 KiB in chunks of one byte. */
const PIECES_PER_READ = 10_922;
const HEAVY_CONNECTIONS = 20;

/** A connection of which the loop reads once in each turn while it isn't paused. */
interface FakeConnection {
    readonly socket: ReadSocket;
    readonly message: ReadMessage;
    reads: number;
    received: number;
    isReading: boolean;
}

function createConnection(): FakeConnection {
    const socket = {} as ReadSocket;
    const connection: FakeConnection = {
        socket,
        message: {
            socket,
            push: () => {
                connection.received++;
                return true;
            },
        },
        reads: 0,
        received: 0,
        isReading: true,
    };
    socket.pause = () => {
        connection.isReading = false;
        return socket as never;
    };
    socket.resume = () => {
        connection.isReading = true;
        return socket as never;
    };
    return connection;
}

/** A loop whose turns the test runs. */
function createLoop() {
    let scheduled: (() => void)[] = [];
    const turns = createReadTurns(callback => void scheduled.push(callback));
    const read = (connection: FakeConnection, pieces: number) => {
        if (!connection.isReading) {
            return 0;
        }
        connection.reads++;
        Array.from({ length: pieces }).forEach(() => connection.message.push("a"));
        return pieces;
    };
    const endTurn = () => {
        const due = scheduled;
        scheduled = [];
        due.forEach(callback => callback());
    };
    return { turns, read, endTurn, countScheduled: () => scheduled.length };
}

describe("createReadTurns", () => {
    // Guards against: every connection in tiny pieces is read in each turn, and all others wait for all of them.
    it("gives the loop back after the read of one connection in tiny pieces, and each its turn", () => {
        const { turns, read, endTurn } = createLoop();
        const heavy = Array.from({ length: HEAVY_CONNECTIONS }, createConnection);
        heavy.forEach(({ message }) => turns.trackPieces(message));
        heavy.forEach(connection => read(connection, PIECES_PER_READ));
        endTurn();
        for (let turn = 0; turn < 2 * HEAVY_CONNECTIONS; turn++) {
            const pieces = heavy.reduce((sum, connection) => sum + read(connection, PIECES_PER_READ), 0);
            assert.equal(pieces, PIECES_PER_READ);
            endTurn();
        }
        heavy.forEach(({ reads }) => assert.equal(reads, 3));
    });

    it("never stops a connection with few pieces in a turn, and reads many together that have some more", () => {
        const { turns, read, endTurn } = createLoop();
        const [light, ...busier] = Array.from({ length: 9 }, createConnection);
        assert.ok(light !== undefined);
        [light, ...busier].forEach(({ message }) => turns.trackPieces(message));
        for (let turn = 1; turn <= 100; turn++) {
            read(light, 200);
            busier.forEach(connection => read(connection, 300));
            assert.equal(light.isReading, true);
            endTurn();
            assert.equal(turns.countWaiting(), 0);
        }
        busier.forEach(({ reads }) => assert.equal(reads, 100));
    });

    it("keeps a connection stopped that its reader stopped meanwhile, and loses no piece", () => {
        const { turns, read, endTurn, countScheduled } = createLoop();
        const connection = createConnection();
        turns.trackPieces(connection.message);
        read(connection, PIECES_PER_READ);
        connection.socket.resume();
        assert.equal(connection.isReading, false, "it is held until its turn");
        connection.socket.pause();
        endTurn();
        assert.equal(connection.isReading, false, "its reader doesn't want more");
        connection.socket.resume();
        assert.equal(connection.isReading, true);
        assert.equal(connection.received, PIECES_PER_READ);
        endTurn();
        assert.equal(countScheduled(), 0, "nothing is scheduled while nothing is read");
    });

    it("counts the messages of one connection together", () => {
        const { turns, read, endTurn } = createLoop();
        const connection = createConnection();
        turns.trackPieces(connection.message);
        read(connection, 200);
        turns.trackPieces({ ...connection.message, socket: connection.socket });
        read(connection, 200);
        assert.equal(connection.isReading, false);
        endTurn();
        assert.equal(connection.isReading, true);
    });
});
