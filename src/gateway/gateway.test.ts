import assert from "node:assert/strict";
import http from "node:http";
import { afterEach, describe, it } from "node:test";
import { computeStopTimes } from "../decisions/gateway/computeStopTimes";
import { makeRoute } from "../decisions/gateway/_testing/makeRoute";
import { type GatewayRoute, RouteKind } from "../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "./_testing/createGatewayHarness";
import { type EndpointScript, formatAnswer } from "./_testing/startScriptedEndpoint";

const ATTEMPT_ID = "Redwinglift-Attempt-Id: attempt-1";
const NON_IDEMPOTENT = makeRoute({ kind: RouteKind.NonIdempotent, attemptsMax: 1 });
const STREAM = makeRoute({ kind: RouteKind.Streaming, attemptsMax: 1, gapTargetMs: 400, timeoutMs: 5_000 });
const RESUMABLE = { ...STREAM, attemptsMax: 2, isResumable: true };

const answerSuccess: EndpointScript = (_request, socket) =>
    socket.write(formatAnswer("hello", { headers: [ATTEMPT_ID] }));
const answerFailure: EndpointScript = (_request, socket) =>
    socket.write(formatAnswer("failed", { status: "500 Internal Server Error", headers: [ATTEMPT_ID] }));
const answerNotExecuted: EndpointScript = (_request, socket) =>
    socket.write(formatAnswer("", { status: "503 Service Unavailable", headers: ["Redwinglift-Not-Executed: 1"] }));
const resetConnection: EndpointScript = (_request, socket) => socket.resetAndDestroy();
const staySilent: EndpointScript = () => undefined;

const formatEvent = (id: number) => `id: ${id}\ndata: x\n\n`;
const formatChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const STREAM_HEAD = formatAnswer("", {
    headers: [ATTEMPT_ID, "Content-Type: text/event-stream"],
    length: "chunked",
});

let harness: GatewayHarness;
afterEach(() => harness.dispose());

async function start(route: GatewayRoute, ...scripts: readonly EndpointScript[]) {
    harness = await createGatewayHarness(route, scripts);
    return harness;
}

const countRequests = () => harness.endpoints.reduce((sum, endpoint) => sum + endpoint.listRequests().length, 0);

describe("a request to a gateway", () => {
    it("is forwarded unchanged, with the endpoint's id and the account's name, and its answer is relayed", async () => {
        const { send, endpoints, countedAccounts } = await start(makeRoute(), answerSuccess);
        const answer = await send({ method: "POST", path: "/a/b?x=%20y", body: "ping" });
        assert.deepEqual([answer.status, answer.body], [200, "hello"]);
        assert.equal(answer.headers["redwinglift-response-seal"], "3e1b.07");
        const [request] = endpoints[0]?.listRequests() ?? [];
        assert.match(request ?? "", /^POST \/a\/b\?x=%20y HTTP\/1\.1\r\n/);
        assert.match(request ?? "", /Redwinglift-Expect-Instance: i-0\r\n/);
        assert.match(request ?? "", /Redwinglift-Tenant: county\r\n/);
        assert.doesNotMatch(request ?? "", /Authorization|key-1/i);
        assert.match(request ?? "", /\r\n\r\nping$/);
        assert.deepEqual(countedAccounts, ["county"]);
    });

    it("is refused with 404 without a route, and with 401 without a known key", async () => {
        const { send } = await start(makeRoute(), answerSuccess);
        assert.equal((await send({ path: "/none/" })).status, 404);
        assert.equal((await send({ headers: { authorization: "Bearer other" } })).status, 401);
        assert.equal(countRequests(), 0);
    });

    // Guards against: the configuration that takes the last account away opens the node to every key (CONFIG, ROUTE).
    it("is refused with 401 once the last account is gone, whatever its key", async () => {
        const { send, apply } = await start(makeRoute(), answerSuccess);
        apply({ accounts: [] });
        assert.equal((await send()).status, 401);
        assert.equal((await send({ headers: { authorization: "Bearer other" } })).status, 401);
        assert.equal((await send({ headers: { authorization: "" } })).status, 401);
        assert.equal(countRequests(), 0);
    });

    it("is served without a key in a deployment that has no accounts", async () => {
        const { send, apply } = await start(makeRoute(), answerSuccess);
        apply({ accounts: undefined });
        assert.equal((await send({ headers: { authorization: "" } })).status, 200);
    });

    it("is refused with 503 and not forwarded while the keys in force can't be confirmed", async () => {
        harness = await createGatewayHarness(makeRoute(), [answerSuccess], { confirmedAgoMs: 4_900 });
        const answer = await harness.send();
        assert.equal(answer.status, 503);
        assert.ok(Number(answer.headers["retry-after"]) > 0);
        assert.equal(answer.headers["connection"], "close");
        assert.equal(countRequests(), 0);
    });

    it("is served on an anonymous route without a key and without an account", async () => {
        const { send, apply } = await start(makeRoute(), answerSuccess);
        apply({ accounts: [], routes: [makeRoute({ isAnonymous: true })] });
        assert.equal((await send({ headers: { authorization: "" } })).status, 200);
        assert.doesNotMatch(harness.endpoints[0]?.listRequests()[0] ?? "", /Redwinglift-Tenant/);
    });

    it("is refused with 429 beyond the account's quota, and the endpoint never sees it", async () => {
        const { send, apply, configuration } = await start(makeRoute(), answerSuccess);
        const [account] = configuration.readCurrent()?.configuration.accounts ?? [];
        assert.ok(account !== undefined);
        apply({ accounts: [{ ...account, quotaPerSecond: 1, quotaBurst: 12 }] });
        const headers = { "redwinglift-token-counts": "15,3" };
        assert.equal((await send({ headers })).status, 200);
        assert.equal((await send({ headers })).status, 429);
        assert.equal(countRequests(), 1);
    });

    it("is refused with 413 if its body is too long", async () => {
        const { send } = await start(makeRoute(), answerSuccess);
        assert.equal((await send({ method: "POST", body: "x".repeat(2_000) })).status, 413);
    });

    it("waits until the node has loaded its configuration after a start, and is then forwarded", async () => {
        harness = await createGatewayHarness(makeRoute(), [answerSuccess], { isWithoutConfiguration: true });
        const answer = harness.send();
        await new Promise(resolve => setTimeout(resolve, 60));
        harness.apply({});
        harness.confirm();
        assert.equal((await answer).status, 200);
    });

    it("is refused with 503, not with 404 or 401, before a configuration is loaded", async () => {
        harness = await createGatewayHarness(makeRoute(), [answerSuccess], { isWithoutConfiguration: true });
        assert.equal((await harness.send()).status, 503);
        assert.equal((await harness.send({ path: "/none/", headers: { authorization: "" } })).status, 503);
        assert.equal(countRequests(), 0);
    });
});

describe("a repeatable request", () => {
    for (const [name, script] of [
        ["a failure", answerFailure],
        ["a reset", resetConnection],
        ["a refusal", answerNotExecuted],
        ["silence", staySilent],
    ] as const) {
        it(`is served by another endpoint after ${name}`, async () => {
            const { send } = await start(makeRoute({ objectiveMs: 60 }), script, answerSuccess, answerSuccess);
            for (let round = 0; round < 6; round++) {
                assert.equal((await send()).status, 200);
            }
        });
    }

    it("is executed no more often than its route allows", async () => {
        const { send } = await start(makeRoute(), answerFailure, answerFailure, answerFailure);
        const answer = await send();
        assert.deepEqual([answer.status, answer.body], [500, "failed"]);
        assert.equal(countRequests(), 2);
    });

    it("is refused as not executed if every endpoint states so", async () => {
        const { send, countedAccounts } = await start(makeRoute(), answerNotExecuted, answerNotExecuted);
        const answer = await send();
        assert.equal(answer.status, 503);
        assert.equal(answer.headers["redwinglift-response-seal"], undefined);
        assert.deepEqual(countedAccounts, []);
    });
});

describe("a non-repeatable request", () => {
    it("is sent once, and answered with 502 if the answer is lost, since its outcome is unknown", async () => {
        const { send, countedAccounts } = await start(
            NON_IDEMPOTENT,
            resetConnection,
            resetConnection,
            resetConnection,
        );
        assert.equal((await send({ method: "POST", body: "pay" })).status, 502);
        assert.equal(countRequests(), 1);
        assert.deepEqual(countedAccounts, ["county"]);
    });

    it("is sent to another endpoint only if the first states that it did not execute it", async () => {
        const { send } = await start(NON_IDEMPOTENT, answerNotExecuted, answerSuccess);
        for (let round = 0; round < 4; round++) {
            assert.equal((await send({ method: "POST", body: "pay" })).status, 200);
        }
    });

    it("is answered with 504 at the timeout of its route, and the connection to the endpoint is closed", async () => {
        let closed = 0;
        const { send } = await start({ ...NON_IDEMPOTENT, timeoutMs: 80 }, (_request, socket) =>
            socket.on("close", () => closed++),
        );
        const answer = await send({ method: "POST", body: "pay" });
        assert.equal(answer.status, 504);
        await new Promise(resolve => setTimeout(resolve, 50));
        assert.equal(closed, 1);
    });
});

describe("a stream", () => {
    it("is relayed event by event", async () => {
        const { send } = await start(STREAM, (_request, socket) => {
            socket.write(STREAM_HEAD + formatChunk(formatEvent(1)));
            setTimeout(() => socket.write(formatChunk(formatEvent(2)) + "0\r\n\r\n"), 30);
        });
        const answer = await send();
        assert.equal(answer.body, formatEvent(1) + formatEvent(2));
        assert.ok(answer.isComplete);
    });

    it("that may not be resumed ends where it was cut off, and does not look complete", async () => {
        const breakOff: EndpointScript = (_request, socket) =>
            socket.write(STREAM_HEAD + formatChunk(formatEvent(1)), () => setTimeout(() => socket.destroy(), 20));
        const { send } = await start(STREAM, breakOff, breakOff);
        const answer = await send();
        assert.equal(answer.body, formatEvent(1));
        assert.ok(!answer.isComplete);
        assert.equal(countRequests(), 1);
    });

    it("that may be resumed continues at another endpoint after the last whole event", async () => {
        const serve: EndpointScript = (request, socket) => {
            const last = Number(/Last-Event-Id: (\d+)/i.exec(request)?.[1] ?? 0);
            if (last === 0) {
                socket.write(STREAM_HEAD + formatChunk(formatEvent(1)) + formatChunk("id: 2\nda"), () =>
                    setTimeout(() => socket.destroy(), 20),
                );
            } else {
                socket.write(
                    STREAM_HEAD + formatChunk(formatEvent(last + 1)) + formatChunk(formatEvent(last + 2)) + "0\r\n\r\n",
                );
            }
        };
        const { send } = await start(RESUMABLE, serve, serve);
        const answer = await send();
        assert.equal(answer.body, formatEvent(1) + formatEvent(2) + formatEvent(3));
        assert.ok(answer.isComplete);
    });

    it("is never joined from events that are not consecutive", async () => {
        const serve: EndpointScript = (request, socket) => {
            const first = /Last-Event-Id/i.test(request) ? 5 : 1;
            socket.write(STREAM_HEAD + formatChunk(formatEvent(first)), () => setTimeout(() => socket.destroy(), 20));
        };
        const { send } = await start(RESUMABLE, serve, serve);
        const answer = await send();
        assert.equal(answer.body, formatEvent(1));
        assert.ok(!answer.isComplete);
    });

    it("is ended at the endpoint when the caller leaves", async () => {
        let closed = 0;
        const { send } = await start(STREAM, (_request, socket) => {
            socket.on("close", () => closed++);
            socket.write(STREAM_HEAD + formatChunk(formatEvent(1)));
        });
        await send({ leavesAfterMs: 60 });
        await new Promise(resolve => setTimeout(resolve, 60));
        assert.equal(closed, 1);
        assert.equal(harness.listener.countOpen(), 0);
    });
});

describe("a gateway that drains", () => {
    it("finishes its open requests, and closes each connection after its answer", async () => {
        const { send, listener } = await start(makeRoute(), (_request, socket) => {
            setTimeout(() => socket.write(formatAnswer("hello", { headers: [ATTEMPT_ID] })), 50);
        });
        const pending = send();
        await new Promise(resolve => setTimeout(resolve, 20));
        listener.beginDrain(computeStopTimes(8_000));
        assert.equal((await pending).status, 200);
        const answer = await send({ headers: { connection: "keep-alive" } });
        assert.equal(answer.status, 200);
        assert.equal(answer.headers["connection"], "close");
    });

    it("tells a caller to close whose request came before the signal and whose answer begins after it", async () => {
        const { send, listener } = await start(makeRoute(), (_request, socket) => {
            setTimeout(() => socket.write(formatAnswer("hello", { headers: [ATTEMPT_ID] })), 60);
        });
        const pending = send({ headers: { connection: "keep-alive" } });
        await new Promise(resolve => setTimeout(resolve, 20));
        listener.beginDrain(computeStopTimes(8_000));
        assert.equal((await pending).headers["connection"], "close");
    });

    it("closes a connection after an answer that began before the signal, so that no request comes late on it", async () => {
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        const { send, listener } = await start(STREAM, (_request, socket) => {
            socket.write(STREAM_HEAD + formatChunk(formatEvent(1)));
            setTimeout(() => socket.write(formatChunk(formatEvent(2)) + "0\r\n\r\n"), 60);
        });
        const pending = send({ agent });
        await new Promise(resolve => setTimeout(resolve, 30));
        listener.beginDrain(computeStopTimes(8_000));
        const answer = await pending;
        assert.equal(answer.isComplete, true);
        await new Promise(resolve => setTimeout(resolve, 30));
        assert.equal(Object.keys(agent.freeSockets).length, 0);
        agent.destroy();
    });

    it("refuses a request that can't be ended in what is left of the grace time, and says that it was not run", async () => {
        const { send, listener } = await start(makeRoute(), (_request, socket) =>
            socket.write(formatAnswer("hello", { headers: [ATTEMPT_ID] })),
        );
        listener.beginDrain({ ...computeStopTimes(1_000), takesAllMs: 0 });
        const answer = await send();
        assert.equal(answer.status, 503);
        assert.equal(JSON.parse(answer.body).error.execution, "not_run");
        assert.equal(answer.headers["connection"], "close");
        assert.ok(Number(answer.headers["retry-after"]) > 0);
        assert.equal(countRequests(), 0);
    });
});
