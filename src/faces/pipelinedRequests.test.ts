import assert from "node:assert/strict";
import net from "node:net";
import { describe, it } from "node:test";
import { ok } from "neverthrow";
import { createFaceFixture, CREW_KEY } from "./_testing/createFaceFixture";

const REQUESTS = 2_000;
const OPEN_REQUESTS_MAX = 4;
const GET = `GET /services/ledger/all HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${CREW_KEY}\r\n\r\n`;

describe("requests that a caller sends ahead on one connection", () => {
    // Guards against: each of them is an open request, and a few callers use up the memory of the process.
    it("are begun a few at a time, and all answered to a caller that reads", { timeout: 30_000 }, async () => {
        let calls = 0;
        const waiting: (() => void)[] = [];
        const face = await createFaceFixture({
            answerCall: async () => {
                calls++;
                if (calls <= OPEN_REQUESTS_MAX) {
                    await new Promise<void>(resolve => waiting.push(resolve));
                }
                return ok({ status: 200, headers: {}, body: Buffer.from("ok") });
            },
        });
        const socket = net.connect({ port: face.listener.port, host: "127.0.0.1" });
        socket.write(GET.repeat(REQUESTS));
        while (waiting.length < OPEN_REQUESTS_MAX) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        await new Promise(resolve => setTimeout(resolve, 100));
        assert.equal(calls, OPEN_REQUESTS_MAX);
        assert.equal(face.listener.countOpenRequests(), OPEN_REQUESTS_MAX);
        let received = "";
        socket.on("data", data => (received += data.toString("latin1")));
        waiting.forEach(resolve => resolve());
        while (received.split("HTTP/1.1 200 ").length - 1 < REQUESTS) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        socket.destroy();
        face.dispose();
    });
});
