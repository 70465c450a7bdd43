import assert from "node:assert/strict";
import http, { type IncomingMessage } from "node:http";
import net, { type AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { createReadTurns } from "./createReadTurns";

const BODY_BYTES = 200_000;
const READ_BYTES_MAX = 65_536;
const CHUNK = "1\r\na\r\n";
const PIECES_PER_READ_MAX = Math.ceil(READ_BYTES_MAX / CHUNK.length);
const TINY_CHUNKS = `Transfer-Encoding: chunked\r\n\r\n${CHUNK.repeat(BODY_BYTES)}0\r\n\r\n`;

interface ReadResult {
    readonly bytes: number;
    /** The most pieces between two turns of the loop. */
    readonly piecesMax: number;
}

/** Reads a message to its end. */
function readTracked(message: IncomingMessage): Promise<ReadResult> {
    createReadTurns(callback => void setImmediate(callback)).trackPieces(message);
    let bytes = 0;
    let pieces = 0;
    let piecesMax = 0;
    const countTurn = () => {
        piecesMax = Math.max(piecesMax, pieces);
        pieces = 0;
        timer = setImmediate(countTurn);
    };
    let timer = setImmediate(countTurn);
    return new Promise(resolve => {
        message.on("data", (piece: Buffer) => {
            bytes += piece.length;
            pieces++;
        });
        message.on("end", () => {
            clearImmediate(timer);
            resolve({ bytes, piecesMax: Math.max(piecesMax, pieces) });
        });
    });
}

// Guards against: one connection in tiny pieces is read again and again within one turn of the loop.
describe("a body in tiny pieces that the kernel has received whole", () => {
    it("is read once in a turn if a caller sends it", async () => {
        const server = http.createServer();
        const read = new Promise<ReadResult>(resolve =>
            server.once("request", request => void readTracked(request).then(resolve)),
        );
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const socket = net.connect((server.address() as AddressInfo).port, "127.0.0.1");
        socket.write(`POST / HTTP/1.1\r\nHost: node\r\n${TINY_CHUNKS}`);
        const { bytes, piecesMax } = await read;
        socket.destroy();
        server.close();
        assert.equal(bytes, BODY_BYTES);
        assert.ok(piecesMax <= PIECES_PER_READ_MAX, `${piecesMax} pieces in one turn`);
    });

    it("is read once in a turn if an endpoint sends it", async () => {
        const endpoint = net.createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => socket.write(`HTTP/1.1 200 OK\r\n${TINY_CHUNKS}`));
        });
        await new Promise<void>(resolve => endpoint.listen(0, "127.0.0.1", resolve));
        const { port } = endpoint.address() as AddressInfo;
        const { bytes, piecesMax } = await new Promise<ReadResult>(resolve =>
            http.get({ port, host: "127.0.0.1", agent: false }, response => void readTracked(response).then(resolve)),
        );
        endpoint.close();
        assert.equal(bytes, BODY_BYTES);
        assert.ok(piecesMax <= PIECES_PER_READ_MAX, `${piecesMax} pieces in one turn`);
    });
});
