import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../decisions/gateway/_testing/makeRoute";
import { type GatewayRoute, RouteKind } from "../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "./_testing/createGatewayHarness";
import { type EndpointScript, formatAnswer } from "./_testing/startScriptedEndpoint";

const ECHO = "Redwinglift-Attempt-Id: attempt-1";
const POSTING = makeRoute({ kind: RouteKind.NonIdempotent, attemptsMax: 1 });
const STREAM = makeRoute({ kind: RouteKind.Streaming, attemptsMax: 1, gapTargetMs: 400, timeoutMs: 5_000 });
const RESUMABLE = { ...STREAM, attemptsMax: 2, isResumable: true };

const answerWell: EndpointScript = (_request, socket) => socket.write(formatAnswer("hello", { headers: [ECHO] }));
const answerFailed: EndpointScript = (_request, socket) =>
    socket.write(formatAnswer("failed", { status: "500 Internal Server Error", headers: [ECHO] }));
const refuse: EndpointScript = (_request, socket) =>
    socket.write(formatAnswer("", { status: "503 Service Unavailable", headers: ["Redwinglift-Not-Executed: 1"] }));
const reset: EndpointScript = (_request, socket) => socket.resetAndDestroy();
const staySilent: EndpointScript = () => undefined;

const formatEvent = (id: number) => `id: ${id}\ndata: x\n\n`;
const formatChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const STREAM_HEAD = formatAnswer("", { headers: [ECHO, "Content-Type: text/event-stream"], length: "chunked" });

let harness: GatewayHarness;
afterEach(() => harness.dispose());

async function start(route: GatewayRoute, ...scripts: readonly EndpointScript[]) {
    harness = await createGatewayHarness(route, scripts);
    return harness;
}

const countRequests = () => harness.endpoints.reduce((sum, endpoint) => sum + endpoint.listRequests().length, 0);

describe("a request to a gateway", () => {
    it("is forwarded unchanged, with the endpoint's name and the account, and its answer is relayed", async () => {
        const { send, endpoints, countedAccounts: begun } = await start(makeRoute(), answerWell);
        const answer = await send({ method: "POST", path: "/a/b?x=%20y", body: "ping" });
        assert.deepEqual([answer.status, answer.body], [200, "hello"]);
        assert.equal(answer.headers["redwinglift-response-seal"], "3e1b.07");
        const [request] = endpoints[0]?.listRequests() ?? [];
        assert.match(request ?? "", /^POST \/a\/b\?x=%20y HTTP\/1\.1\r\n/);
        assert.match(request ?? "", /Redwinglift-Expect-Instance: i-0\r\n/);
        assert.match(request ?? "", /Redwinglift-Tenant: county\r\n/);
        assert.doesNotMatch(request ?? "", /Authorization|key-1/i);
        assert.match(request ?? "", /\r\n\r\nping$/);
        assert.deepEqual(begun, ["county"]);
    });

    it("is refused with 404 without a route, and with 401 without a known key", async () => {
        const { send } = await start(makeRoute(), answerWell);
        assert.equal((await send({ path: "/none/" })).status, 404);
        assert.equal((await send({ headers: { authorization: "Bearer other" } })).status, 401);
        assert.equal(countRequests(), 0);
    });

    it("is refused as not run while the keys in force can't be confirmed", async () => {
        const { send, confirm } = await start(makeRoute(), answerWell);
        confirm(4_900);
        const answer = await send();
        assert.equal(answer.status, 503);
        assert.ok(Number(answer.headers["retry-after"]) > 0);
        assert.equal(answer.headers["connection"], "close");
        assert.equal(countRequests(), 0);
    });

    it("is refused if its key was taken away, and served on an anonymous route without one", async () => {
        const { send, apply } = await start(makeRoute(), answerWell);
        apply({ accounts: [], routes: [makeRoute({ isAnonymous: true })] });
        assert.equal((await send({ headers: { authorization: "" } })).status, 200);
        assert.doesNotMatch(harness.endpoints[0]?.listRequests()[0] ?? "", /Redwinglift-Tenant/);
    });

    it("is refused with 429 beyond the account's quota, and the endpoint never sees it", async () => {
        const { send, apply, configuration } = await start(makeRoute(), answerWell);
        const [account] = configuration.readCurrent()?.configuration.accounts ?? [];
        assert.ok(account !== undefined);
        apply({ accounts: [{ ...account, quotaPerSecond: 1, quotaBurst: 12 }] });
        const headers = { "redwinglift-token-counts": "15,3" };
        assert.equal((await send({ headers })).status, 200);
        assert.equal((await send({ headers })).status, 429);
        assert.equal(countRequests(), 1);
    });

    it("is refused with 413 if its body is too long", async () => {
        const { send } = await start(makeRoute(), answerWell);
        assert.equal((await send({ method: "POST", body: "x".repeat(2_000) })).status, 413);
    });

    it("waits while its node has just started, and is then forwarded", async () => {
        harness = await createGatewayHarness(makeRoute(), [answerWell], { isWithoutConfiguration: true });
        const answer = harness.send();
        await new Promise(resolve => setTimeout(resolve, 60));
        harness.apply({});
        harness.confirm();
        assert.equal((await answer).status, 200);
    });

    it("is refused as not run, never with 404 or 401, before a configuration is known", async () => {
        harness = await createGatewayHarness(makeRoute(), [answerWell], { isWithoutConfiguration: true });
        assert.equal((await harness.send()).status, 503);
        assert.equal((await harness.send({ path: "/none/", headers: { authorization: "" } })).status, 503);
        assert.equal(countRequests(), 0);
    });
});

describe("a request that may be repeated", () => {
    for (const [name, script] of [
        ["a failure", answerFailed],
        ["a reset", reset],
        ["a refusal", refuse],
        ["silence", staySilent],
    ] as const) {
        it(`is served by another endpoint after ${name}`, async () => {
            const { send } = await start(makeRoute({ objectiveMs: 60 }), script, answerWell, answerWell);
            for (let round = 0; round < 6; round++) {
                assert.equal((await send()).status, 200);
            }
        });
    }

    it("is executed no more often than its route allows", async () => {
        const { send } = await start(makeRoute(), answerFailed, answerFailed, answerFailed);
        const answer = await send();
        assert.deepEqual([answer.status, answer.body], [500, "failed"]);
        assert.equal(countRequests(), 2);
    });

    it("is refused as not run if every endpoint says so", async () => {
        const { send, countedAccounts: begun } = await start(makeRoute(), refuse, refuse);
        const answer = await send();
        assert.equal(answer.status, 503);
        assert.equal(answer.headers["redwinglift-response-seal"], undefined);
        assert.deepEqual(begun, []);
    });
});

describe("a request that may not be repeated", () => {
    it("is sent once, and its lost answer is told as unknown", async () => {
        const { send, countedAccounts: begun } = await start(POSTING, reset, reset, reset);
        assert.equal((await send({ method: "POST", body: "pay" })).status, 502);
        assert.equal(countRequests(), 1);
        assert.deepEqual(begun, ["county"]);
    });

    it("goes on to another endpoint only if the first states that it did not execute it", async () => {
        const { send } = await start(POSTING, refuse, answerWell);
        for (let round = 0; round < 4; round++) {
            assert.equal((await send({ method: "POST", body: "pay" })).status, 200);
        }
    });

    it("is told as unknown at its route's timeout, and the endpoint's connection is closed", async () => {
        let closed = 0;
        const { send } = await start({ ...POSTING, timeoutMs: 80 }, (_request, socket) =>
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

    it("that may not be resumed is closed where it broke, without looking complete", async () => {
        const breakOff: EndpointScript = (_request, socket) =>
            socket.write(STREAM_HEAD + formatChunk(formatEvent(1)), () => setTimeout(() => socket.destroy(), 20));
        const { send } = await start(STREAM, breakOff, breakOff);
        const answer = await send();
        assert.equal(answer.body, formatEvent(1));
        assert.ok(!answer.isComplete);
        assert.equal(countRequests(), 1);
    });

    it("that may be resumed goes on at another endpoint after the last whole event, under the first one's head", async () => {
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

    it("is never joined from events that don't follow each other", async () => {
        const serve: EndpointScript = (request, socket) => {
            const first = /Last-Event-Id/i.test(request) ? 5 : 1;
            socket.write(STREAM_HEAD + formatChunk(formatEvent(first)), () => setTimeout(() => socket.destroy(), 20));
        };
        const { send } = await start(RESUMABLE, serve, serve);
        const answer = await send();
        assert.equal(answer.body, formatEvent(1));
        assert.ok(!answer.isComplete);
    });

    it("ends at its endpoint when the caller leaves", async () => {
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

describe("a gateway that leaves", () => {
    it("finishes what it has, and closes each connection after its answer", async () => {
        const { send, listener } = await start(makeRoute(), (_request, socket) => {
            setTimeout(() => socket.write(formatAnswer("hello", { headers: [ECHO] })), 50);
        });
        const pending = send();
        await new Promise(resolve => setTimeout(resolve, 20));
        listener.beginDrain();
        assert.equal((await pending).status, 200);
        const answer = await send({ headers: { connection: "keep-alive" } });
        assert.equal(answer.status, 200);
        assert.equal(answer.headers["connection"], "close");
    });
});
