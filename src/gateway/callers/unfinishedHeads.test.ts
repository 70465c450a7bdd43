import assert from "node:assert/strict";
import net from "node:net";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { formatAnswer } from "../_testing/startScriptedEndpoint";

let harness: GatewayHarness | undefined;
afterEach(() => harness?.dispose());
const REQUEST =
    "POST /a/x HTTP/1.1\r\nHost: news.example\r\nRedwinglift-Attempt-Id: attempt-1\r\nContent-Length: 0\r\n\r\n";

describe("a connection with a request in progress", () => {
    // Guards against a failure for the head of the next request that takes the place of the answer in progress.
    it("gets the answer of the first request though the head of the next one is late", async () => {
        harness = await createGatewayHarness(makeRoute({ timeoutMs: 20_000, isAnonymous: true }), [
            (_request, socket) =>
                void setTimeout(
                    () => socket.write(formatAnswer("hello", { headers: ["Redwinglift-Attempt-Id: attempt-1"] })),
                    5_500,
                ),
        ]);
        const socket = net.connect(harness.port, "127.0.0.1");
        let received = "";
        socket.on("data", chunk => (received += String(chunk)));
        socket.on("error", () => undefined);
        socket.write(`${REQUEST}POST / HT`);
        await new Promise(resolve => setTimeout(resolve, 6_000));
        socket.destroy();
        const seen = harness.endpoints[0]?.listRequests().length;
        assert.match(received, /^HTTP\/1\.1 200 /, `${seen} request at the endpoint; ${received.slice(0, 300)}`);
    });
});
