import assert from "node:assert/strict";
import http, { type ServerResponse } from "node:http";
import https from "node:https";
import net, { type AddressInfo, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import tls from "node:tls";
import { generate } from "selfsigned";
import { installRequestLimits, RequestLimitAction, type RequestLimitCounter } from "./installRequestLimits";

const OPEN_REQUESTS_MAX = 3;
const READ_AHEAD_BYTES_MAX = 1_048_576;
const UNREAD_BYTES_MAX = 16 * 1_048_576;
const UNREAD_TIMEOUT_MS = 300;
const LARGE_BYTES = 8 * 1_048_576;
const REQUESTS = 5_000;
const GET = "GET /a HTTP/1.1\r\nHost: node\r\n\r\n";
const POST = "POST /a HTTP/1.1\r\nHost: node\r\nContent-Length: 5\r\n\r\nhello";
const CHUNKED_POST = "POST /a HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n";
const BARE_GET = "GET /a HTTP/1.1\nHost: node\n\n";
const HOSTLESS_GET = "GET /a HTTP/1.1\r\n\r\n";

const waitUntil = async (isTrue: () => boolean) => {
    while (!isTrue()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
};

describe("a server with limits for requests that are sent ahead", () => {
    let server: http.Server;
    let limits: RequestLimitCounter;
    let sockets: Socket[];
    let responses: ServerResponse[];
    let handle: (response: ServerResponse) => void;
    let created = 0;
    let unreadTimeoutMs: number;

    beforeEach(async () => {
        sockets = [];
        responses = [];
        created = 0;
        unreadTimeoutMs = UNREAD_TIMEOUT_MS;
        handle = response => void responses.push(response);
        class CountedResponse extends http.ServerResponse {
            constructor(request: http.IncomingMessage) {
                super(request);
                created++;
            }
        }
        server = http.createServer({ ServerResponse: CountedResponse }, (_request, response) => handle(response));
        limits = installRequestLimits(server, {
            openRequestsMax: OPEN_REQUESTS_MAX,
            readAheadBytesMax: READ_AHEAD_BYTES_MAX,
            unreadBytesMax: UNREAD_BYTES_MAX,
            readUnreadTimeoutMs: () => unreadTimeoutMs,
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });
    afterEach(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
        server.closeAllConnections();
    });

    const connect = (text: string) => {
        const socket = net.connect((server.address() as AddressInfo).port, "127.0.0.1");
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.write(text);
        return socket;
    };
    /** Sends requests, and reads their responses; gives how many were received once the connection ends. */
    const countAnswers = (text: string, answers: number) =>
        new Promise<number>(resolve => {
            const socket = connect(text);
            let received = "";
            const count = () => received.split("HTTP/1.1 200 ").length - 1;
            socket.on("data", data => {
                received += data.toString("latin1");
                if (count() >= answers) {
                    socket.destroy();
                }
            });
            socket.on("close", () => resolve(count()));
        });

    // Guards against: each request of a received chunk becomes an open request with a response object.
    for (const [name, request] of Object.entries({ GET, POST, CHUNKED_POST })) {
        it(`parses no more than the limit of a connection before a response ends; ${name}`, async () => {
            connect(request.repeat(REQUESTS));
            await waitUntil(() => responses.length > 0 && limits.countActions()[RequestLimitAction.Held] > 0);
            await new Promise(resolve => setTimeout(resolve, 50));
            // A post behind another one waits within its body.
            assert.ok(created <= OPEN_REQUESTS_MAX, `${created} responses`);
            assert.ok(limits.countReadAheadBytes() > 0);
        });
    }

    for (const [name, request] of Object.entries({ BARE_GET, HOSTLESS_GET })) {
        it(`parses few requests that Node refuses itself, or may refuse; ${name}`, async () => {
            handle = () => undefined;
            const socket = connect(request.repeat(REQUESTS));
            socket.resume();
            await new Promise(resolve => setTimeout(resolve, 100));
            assert.ok(created <= OPEN_REQUESTS_MAX, `${created} responses`);
        });
    }

    // Guards against: a connection whose reading has stopped is never read again.
    for (const [name, request] of Object.entries({ GET, POST, CHUNKED_POST })) {
        it(`answers every request of a caller that reads; ${name}`, { timeout: 30_000 }, async () => {
            handle = response => {
                response.req.resume();
                setImmediate(() => response.end("ok"));
            };
            assert.equal(await countAnswers(request.repeat(REQUESTS), REQUESTS), REQUESTS);
            assert.equal(limits.countReadAheadBytes(), 0);
            assert.equal(limits.countUnreadBytes(), 0);
        });
    }

    it("takes long bodies as they come, and those whose handler reads late", { timeout: 30_000 }, async () => {
        const bytes = 3_000_000;
        let received = 0;
        handle = response => {
            const { req: request } = response;
            setTimeout(() => request.on("data", (piece: Buffer) => (received += piece.length)), 20);
            request.on("end", () => response.end("ok"));
        };
        const head = `POST /a HTTP/1.1\r\nHost: node\r\nContent-Length: ${bytes}\r\n\r\n`;
        assert.equal(await countAnswers(`${head}${"\n\r\n".repeat(bytes / 3)}`.repeat(3), 3), 3);
        assert.equal(received, 3 * bytes);
    });

    it("does nothing to a caller with as many requests as the limit", async () => {
        handle = response => response.end("ok");
        assert.equal(await countAnswers(GET.repeat(OPEN_REQUESTS_MAX), OPEN_REQUESTS_MAX), OPEN_REQUESTS_MAX);
        assert.deepEqual(limits.countActions(), { held: 0, readAheadClosed: 0, unreadClosed: 0, unreadTimedOut: 0 });
    });

    // Guards against: what many connections have sent ahead takes the memory of the process.
    it("closes those that have been held for longest beyond the limit of bytes read ahead", async () => {
        const text = GET.repeat(REQUESTS);
        const first = connect(text);
        first.resume();
        await waitUntil(() => limits.countActions()[RequestLimitAction.Held] > 0);
        const closed = new Promise<void>(resolve => void first.once("close", () => resolve()));
        Array.from({ length: 40 }, () => connect(text));
        await closed;
        assert.ok(limits.countReadAheadBytes() <= READ_AHEAD_BYTES_MAX);
        assert.ok(limits.countActions()[RequestLimitAction.ReadAheadClosed] > 0);
    });

    // Guards against: responses that their callers don't read take the memory of the process.
    it("closes those that have not read for longest beyond the limit of unread bytes", async () => {
        // Otherwise a slow machine may close the first connection by its time before the second one has sent its request.
        unreadTimeoutMs = 60_000;
        const body = Buffer.alloc(UNREAD_BYTES_MAX * 0.75);
        handle = response => response.end(body);
        const first = connect(GET);
        await waitUntil(() => limits.countUnreadBytes() > 0);
        const closed = new Promise<void>(resolve => void first.once("close", () => resolve()));
        connect(GET);
        await waitUntil(() => limits.countActions()[RequestLimitAction.UnreadClosed] === 1);
        first.resume();
        await closed;
        assert.ok(limits.countUnreadBytes() <= UNREAD_BYTES_MAX);
    });

    it("ends a connection after its last response without a reset", async () => {
        handle = response => {
            response.setHeader("connection", "close");
            setTimeout(() => response.end("last"), 20);
        };
        const socket = connect(GET.repeat(REQUESTS));
        let received = "";
        socket.on("data", data => (received += data.toString("latin1")));
        await new Promise<void>(resolve => void socket.once("close", () => resolve()));
        assert.match(received, /last$/);
    });

    // Guards against: callers that read nothing hold all connections of a server, with too few bytes for the other limits.
    it("closes a connection whose caller reads nothing", async () => {
        handle = response => response.end(Buffer.alloc(LARGE_BYTES));
        connect(GET.repeat(3)).pause();
        await waitUntil(() => limits.countActions()[RequestLimitAction.UnreadTimedOut] === 1);
    });

    // Guards against: a caller is closed while it reads, as the body was written at once and is sent for longer than the time.
    for (const [pauseMs, timeoutMs] of [
        [2, UNREAD_TIMEOUT_MS],
        [15, 4 * UNREAD_TIMEOUT_MS],
    ] as const) {
        it(`closes no connection whose caller reads slowly; ${pauseMs} ms a piece`, async () => {
            unreadTimeoutMs = timeoutMs;
            handle = response => response.end(Buffer.alloc(LARGE_BYTES));
            const slow = connect(GET.repeat(3));
            let received = 0;
            let isClosed = false;
            slow.once("close", () => (isClosed = true));
            slow.on("data", data => {
                received += data.length;
                slow.pause();
                setTimeout(() => slow.resume(), pauseMs);
            });
            await waitUntil(() => isClosed || received > 3 * LARGE_BYTES);
            assert.equal(limits.countActions()[RequestLimitAction.UnreadTimedOut], 0);
        });
    }
});

describe("a server over TLS with limits for requests that are sent ahead", () => {
    // Guards against: the handle of TLS, which tells nothing of a write until it is sent whole, stands for the connection.
    it("closes no connection whose caller reads slowly", async () => {
        const identity = await generate([{ name: "commonName", value: "node" }]);
        const body = Buffer.alloc(LARGE_BYTES);
        const server = https.createServer({ key: identity.private, cert: identity.cert }, (_request, response) => {
            response.end(body);
        });
        const limits = installRequestLimits(server, {
            openRequestsMax: OPEN_REQUESTS_MAX,
            readAheadBytesMax: READ_AHEAD_BYTES_MAX,
            unreadBytesMax: 4 * LARGE_BYTES,
            readUnreadTimeoutMs: () => 4 * UNREAD_TIMEOUT_MS,
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const slow = tls.connect({ host: "127.0.0.1", port, rejectUnauthorized: false });
        let received = 0;
        let isClosed = false;
        slow.on("error", () => undefined);
        slow.once("close", () => (isClosed = true));
        slow.on("data", (data: Buffer) => {
            received += data.length;
            slow.pause();
            setTimeout(() => slow.resume(), 4);
        });
        slow.write(GET);
        await waitUntil(() => isClosed || received > LARGE_BYTES);
        slow.destroy();
        server.close();
        server.closeAllConnections();
        assert.equal(limits.countActions()[RequestLimitAction.UnreadTimedOut], 0);
    });
});
