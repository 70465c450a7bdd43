import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { openCaller } from "../_testing/openCaller";
import { formatAnswer } from "../_testing/startScriptedEndpoint";

let harness: GatewayHarness;
afterEach(() => harness.dispose());

const ODD_REQUESTS: Readonly<Record<string, readonly string[]>> = {
    "a tab in its path": ["GET /a/b\tc HTTP/1.1"],
    "a space in a header's name": ["GET /a/b HTTP/1.1", "X A: 1"],
    "bytes above 127 in its path": ["GET /a/\u00e9 HTTP/1.1"],
    "a control character in a header": ["GET /a/b HTTP/1.1", "X-A: a\u0001b"],
    "a quote in a header's name": ["GET /a/b HTTP/1.1", 'X"A: 1'],
};

describe("a request that can't be sent on as it is", () => {
    // Guards against: an unexpected error in the middle of an attempt leaves the endpoint's counters raised for good.
    for (const [name, lines] of Object.entries(ODD_REQUESTS)) {
        it(`is answered, and leaves no trace at the endpoints: ${name}`, async () => {
            harness = await createGatewayHarness(makeRoute(), [
                (_request, socket) =>
                    socket.write(formatAnswer("hello", { headers: ["Redwinglift-Attempt-Id: attempt-1"] })),
            ]);
            const caller = openCaller(harness.port);
            const [first = "", ...headers] = lines;
            caller.write(
                [
                    first,
                    "Host: news.example",
                    "Authorization: Bearer key-1",
                    "Redwinglift-Attempt-Id: attempt-1",
                    "Connection: close",
                    ...headers,
                    "",
                    "",
                ].join("\r\n"),
            );
            const { received } = await caller.whenClosed;
            assert.match(received, /^HTTP\/1\.1 (200|400) /, received);
            const [record] = harness.directory.listUsable("chat");
            assert.equal(record?.ownInFlight, 0);
            assert.equal(record?.pendingTokens, 0);
            assert.equal(harness.listener.countOpen(), 0);
            assert.equal((await harness.send()).status, 200);
        });
    }
});
