import assert from "node:assert/strict";
import http, { type ServerResponse } from "node:http";
import net, { type AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as waitMs } from "node:timers/promises";
import { type ConnectionCounter, installConnectionLimit, LimitAction } from "./installConnectionLimit";

const LIMIT = 16;
/** A connection without a younger event may be closed. */
const QUIET_MS = 250;
const REQUEST = "POST /first HTTP/1.1\r\nhost: node\r\ncontent-length: 0\r\n\r\n";

/** A connection of a caller, with what it has received. */
interface Caller {
    readonly socket: net.Socket;
    readReceived(): string;
    readonly ended: Promise<string>;
}

describe("a server with as many connections as it may have", () => {
    let server: http.Server;
    let connections: ConnectionCounter;
    let responses: ServerResponse[];
    let callers: Caller[];

    beforeEach(async () => {
        responses = [];
        callers = [];
        server = http.createServer((_request, response) => responses.push(response));
        connections = installConnectionLimit(server, LIMIT);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });
    afterEach(() => {
        callers.forEach(({ socket }) => socket.destroy());
        server.close();
        server.closeAllConnections();
    });

    const connect = async (bytes = "", allowHalfOpen = false): Promise<Caller> => {
        const { port } = server.address() as AddressInfo;
        const socket = net.connect({ port, host: "127.0.0.1", allowHalfOpen });
        let received = "";
        socket.on("data", chunk => (received += String(chunk)));
        socket.on("error", () => undefined);
        const ended = new Promise<string>(resolve => {
            socket.once("close", () => resolve(received));
            socket.once("end", () => resolve(received));
        });
        await new Promise<void>(resolve => server.once("connection", () => resolve()));
        if (bytes.length > 0) {
            await new Promise<void>(resolve => socket.write(bytes, () => resolve()));
        }
        const caller = { socket, ended, readReceived: () => received };
        callers.push(caller);
        return caller;
    };
    const connectMany = async (count: number, bytes = "", allowHalfOpen = false) => {
        const connected: Caller[] = [];
        for (let index = 0; index < count; index++) {
            connected.push(await connect(bytes, allowHalfOpen));
        }
        return connected;
    };
    const expectAnswer = async () => {
        const served = responses.length;
        const caller = await connect(REQUEST);
        await waitMs(20);
        assert.equal(responses.length, served + 1);
        responses.at(-1)?.end("whole");
        await waitMs(20);
        assert.match(caller.readReceived(), /^HTTP\/1\.1 200 [^]*whole/);
    };

    // Guards against: idle connections hold all places, and each new caller gets 503.
    it("serves a new caller, and closes the longest idle without an answer", async () => {
        const idle = await connectMany(LIMIT);
        await waitMs(QUIET_MS);
        await expectAnswer();
        assert.equal(await idle[0]?.ended, "");
        assert.equal(idle.at(-1)?.socket.readyState, "open");
        assert.equal(connections.countActions()[LimitAction.NewRefused], 0);
    });

    // Guards against: callers that use their kept connections in turn lose each one before its next request.
    it("closes none that was used lately while there are places left", async () => {
        await connectMany(LIMIT - 2, REQUEST);
        await waitMs(50);
        responses.forEach(response => response.end());
        await waitMs(QUIET_MS);
        await connect();
        assert.equal(connections.countActions()[LimitAction.IdleClosed], 0);
        assert.equal(connections.count(), LIMIT - 1);
    });

    it("keeps each that has an open request, and refuses a new caller if all have", async () => {
        await connectMany(LIMIT, REQUEST);
        await waitMs(QUIET_MS);
        const refused = await connect(REQUEST);
        assert.match(await refused.ended, /^HTTP\/1\.1 503 [^]*retry-after: 1\r\n/);
        assert.equal(responses.length, LIMIT, "the refused request must not run");
        responses.forEach(response => response.end("whole"));
        await waitMs(50);
        callers.slice(0, LIMIT).forEach(caller => assert.match(caller.readReceived(), /whole/));
        assert.equal(connections.countActions()[LimitAction.IdleClosed], 0);
    });

    it("refuses one within a head as not run, once none is idle", async () => {
        const [slow] = await connectMany(1, "POST / HT");
        await connectMany(LIMIT - 1, REQUEST);
        await waitMs(QUIET_MS);
        const first = await connect(REQUEST);
        await waitMs(QUIET_MS);
        const second = await connect(REQUEST);
        assert.match((await slow?.ended) ?? "", /^HTTP\/1\.1 503 /);
        await waitMs(20);
        assert.equal(responses.length, LIMIT, `${first.readReceived()} ${second.readReceived()}`);
    });

    it("drops a request that crosses the close of its connection", async () => {
        const [crossing] = await connectMany(LIMIT, "", true);
        await waitMs(QUIET_MS);
        await expectAnswer();
        crossing?.socket.write(REQUEST);
        await waitMs(50);
        assert.equal(responses.length, 1);
        assert.equal(crossing?.readReceived(), "");
    });

    // Guards against: closing connections hold descriptors for as long as their callers don't close them too.
    it("holds few that are closing, though their callers don't close them", async () => {
        await connectMany(LIMIT, "", true);
        await waitMs(QUIET_MS);
        for (let index = 0; index < LIMIT; index++) {
            await connect(REQUEST, true);
            assert.ok(connections.count() <= LIMIT * 1.05 + 1, `${connections.count()} connections`);
        }
        await waitMs(20);
        assert.ok(connections.countActions()[LimitAction.ClosingCut] > 0);
        assert.equal(connections.countActions()[LimitAction.NewRefused], 0);
        assert.equal(responses.length, LIMIT);
    });
});
