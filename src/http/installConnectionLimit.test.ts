import assert from "node:assert/strict";
import http, { type ServerResponse } from "node:http";
import net, { type AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { installConnectionLimit } from "./installConnectionLimit";

const REQUEST = "POST /first HTTP/1.1\r\nhost: node\r\ncontent-length: 0\r\n\r\n";
const LATE_HEAD = "POST / HT";
const MALFORMED_HEAD = "NOT HTTP\r\n\r\n";
const HEADERS_TIMEOUT_MS = 100;

/** A server whose responses the test ends, and a caller with what it has received. */
interface Connection {
    readonly responses: readonly ServerResponse[];
    readonly socket: net.Socket;
    readonly failed: Promise<void>;
    readonly ended: Promise<string>;
}

let server: http.Server;
afterEach(() => server.close());

// Guards against a failure for the head of the next request that takes the place of the answer in progress.
describe("a connection with an open response and a broken next head", () => {
    const heads = [
        { title: "late", head: LATE_HEAD, failure: "408 Request Timeout" },
        { title: "malformed", head: MALFORMED_HEAD, failure: "400 Bad Request" },
    ];
    for (const { title, head, failure } of heads) {
        it(`sends the whole answer before the failure of a ${title} head, and runs nothing after it`, async () => {
            const { responses, socket, failed, ended } = await connect(REQUEST + head);
            await failed;
            await write(socket, `TP/1.1\r\nhost: node\r\n\r\n${REQUEST}`);
            responses[0]?.end("whole");
            assert.match(await ended, new RegExp(`^HTTP/1\\.1 200 [^]*\r\n\r\nwhole(?=HTTP/1\\.1 ${failure})`));
            assert.equal(responses.length, 1);
        });

        it(`sends the rest of a stream before the failure of a ${title} head`, async () => {
            const { responses, socket, failed, ended } = await connect(REQUEST);
            responses[0]?.write("begun");
            socket.write(head);
            await failed;
            responses[0]?.end("ended");
            const rest = `5\r\nbegun\r\n5\r\nended\r\n0\r\n\r\nHTTP/1\\.1 ${failure}`;
            assert.match(await ended, new RegExp(`^HTTP/1\\.1 200 [^]*\r\n\r\n${rest}`));
        });
    }

    it("notices that the caller closes its side, and fails a malformed body at once", async () => {
        const left = await connect(REQUEST + LATE_HEAD);
        await left.failed;
        left.socket.end();
        assert.equal(await left.ended, "");
        server.close();
        const malformed = await connect("POST / HTTP/1.1\r\nhost: node\r\ntransfer-encoding: chunked\r\n\r\nx\r\n");
        assert.match(await malformed.ended, /^HTTP\/1\.1 400 /);
    });
});

async function connect(bytes: string): Promise<Connection> {
    const responses: ServerResponse[] = [];
    server = http.createServer({ connectionsCheckingInterval: 20 }, (_request, response) => responses.push(response));
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    installConnectionLimit(server, 10);
    const failed = new Promise<void>(resolve => server.once("clientError", () => resolve()));
    const begun = new Promise<void>(resolve => server.once("request", () => resolve()));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const socket = net.connect((server.address() as AddressInfo).port, "127.0.0.1");
    let received = "";
    socket.on("data", chunk => (received += String(chunk)));
    socket.on("error", () => undefined);
    const ended = new Promise<string>(resolve => socket.once("close", () => resolve(received)));
    await write(socket, bytes);
    await begun;
    return { responses, socket, failed, ended };
}

function write(socket: net.Socket, bytes: string): Promise<void> {
    return new Promise(resolve => socket.write(bytes, () => setTimeout(resolve, 20)));
}
