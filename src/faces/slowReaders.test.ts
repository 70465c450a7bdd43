import assert from "node:assert/strict";
import net from "node:net";
import { describe, it } from "node:test";
import { ok } from "neverthrow";
import { createFaceFixture, CREW_KEY } from "./_testing/createFaceFixture";

describe("limits on readers", () => {
    // Guards against a caller that reads nothing holding a request open for ever.
    it("end a caller that stops reading a whole answer, and not one that reads it slowly", async () => {
        const body = Buffer.alloc(60_000_000);
        const face = await createFaceFixture({
            limits: { idleMs: 700 },
            answerCall: () => Promise.resolve(ok({ status: 200, headers: {}, body })),
        });
        const openReader = async (readSome: (socket: net.Socket) => void) => {
            const socket = net.connect({ port: face.listener.port, host: "127.0.0.1" });
            const timer = setInterval(() => readSome(socket), 10);
            let length = 0;
            socket.on("data", chunk => {
                length += chunk.length;
                socket.pause();
            });
            socket.write(`GET /services/ledger/all HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${CREW_KEY}\r\n\r\n`);
            await new Promise(resolve => setTimeout(resolve, 2_500));
            clearInterval(timer);
            const count = () => length;
            return { socket, count };
        };
        const slow = openReader(socket => socket.resume());
        const silent = openReader(() => undefined);
        const readers = await Promise.all([slow, silent]);
        assert.equal(face.listener.countOpenRequests(), 1);
        readers[0].socket.on("data", () => readers[0].socket.resume()).resume();
        await waitUntilRead(() => readers[0].count() > body.length);
        readers.forEach(({ socket }) => socket.destroy());
        face.dispose();
    });
});

async function waitUntilRead(condition: () => boolean): Promise<void> {
    for (let tries = 0; tries < 200 && !condition(); tries++) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    assert.equal(condition(), true);
}
