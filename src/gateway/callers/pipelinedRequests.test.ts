import assert from "node:assert/strict";
import net from "node:net";
import { afterEach, describe, it } from "node:test";
import { setTimeout as waitMs } from "node:timers/promises";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { formatRequest } from "../_testing/openCaller";
import { formatAnswer } from "../_testing/startScriptedEndpoint";

const REQUESTS = 500;

let harness: GatewayHarness | undefined;
afterEach(() => harness?.dispose());

const waitUntil = async (isTrue: () => boolean) => {
    for (let tries = 0; tries < 500 && !isTrue(); tries++) {
        await waitMs(10);
    }
    assert.ok(isTrue());
};

describe("requests that a caller has sent ahead when its connection ends", () => {
    // Guards against: a request whose connection is closed reaches an endpoint, or counts as run.
    it("are dropped, and never sent to an endpoint", async () => {
        harness = await createGatewayHarness(makeRoute({ timeoutMs: 20_000 }), [() => undefined]);
        const { listener, endpoints, port } = harness;
        const socket = net.connect(port, "127.0.0.1");
        socket.on("error", () => undefined);
        // With more than the limit the connection isn't read, and its end is noticed once something is written to it.
        socket.write(Array.from({ length: 4 }, (_, index) => formatRequest(`attempt-${index}`)).join(""));
        const countForwarded = () => endpoints[0]?.listRequests().length ?? 0;
        await waitUntil(() => countForwarded() === 1 && listener.countCallers().phases.queued === 3);
        socket.resetAndDestroy();
        await waitUntil(() => listener.countOpen() === 0);
        await waitMs(100);
        assert.equal(countForwarded(), 1);
        const { left, dropped, complete } = listener.countCallers().ends;
        assert.deepEqual({ left, dropped, complete }, { left: 1, dropped: 3, complete: 0 });
    });

    it("are dropped after an answer that closes the connection, and it arrives whole", async () => {
        harness = await createGatewayHarness(makeRoute({ timeoutMs: 20_000 }), [
            (_request, socket) =>
                void setTimeout(
                    () => socket.write(formatAnswer("hello", { headers: ["Redwinglift-Attempt-Id: attempt-0"] })),
                    100,
                ),
        ]);
        const { listener, endpoints, port } = harness;
        const socket = net.connect(port, "127.0.0.1");
        let received = "";
        let isReset = false;
        socket.on("data", data => (received += data.toString("latin1")));
        socket.on("error", () => (isReset = true));
        const closed = new Promise<void>(resolve => void socket.once("close", () => resolve()));
        socket.write(
            [
                formatRequest("attempt-0").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"),
                ...Array.from({ length: REQUESTS }, (_, index) => formatRequest(`attempt-${index + 1}`)),
            ].join(""),
        );
        await closed;
        assert.match(received, /^HTTP\/1\.1 200 [^]*hello$/);
        assert.equal(isReset, false);
        assert.equal(endpoints[0]?.listRequests().length, 1);
        await waitUntil(() => listener.countOpen() === 0);
        assert.equal(listener.countCallers().ends.complete, 1);
    });
});
