import assert from "node:assert/strict";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { type GatewayRoute, RouteKind } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { type EndpointScript, formatAnswer } from "../_testing/startScriptedEndpoint";

const ATTEMPT_ID = "Redwinglift-Attempt-Id: attempt-1";
const STREAM_HEAD = formatAnswer("", { headers: [ATTEMPT_ID, "Content-Type: text/event-stream"], length: "chunked" });
const REPEATABLE = makeRoute({ objectiveMs: 60, attemptsMax: 2, timeoutMs: 5_000 });
const RESUMABLE = makeRoute({
    kind: RouteKind.Streaming,
    isResumable: true,
    attemptsMax: 2,
    objectiveMs: 2_000,
    gapTargetMs: 100,
    timeoutMs: 2_500,
});

const formatChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const formatEvent = (id: number) => formatChunk(`id: ${id}\ndata: x\n\n`);
const answerAfter =
    (delayMs: number): EndpointScript =>
    (_request, socket) =>
        void setTimeout(() => socket.write(formatAnswer("hello", { headers: [ATTEMPT_ID] })), delayMs);
/** Sends an event, pauses, and sends the last one. */
const streamWithPause =
    (pauseMs: number): EndpointScript =>
    (_request, socket) => {
        socket.write(STREAM_HEAD + formatEvent(1));
        setTimeout(() => socket.write(`${formatEvent(2)}0\r\n\r\n`), pauseMs);
    };
/** Sends this text first, and then another one again and again. */
const repeatForever =
    (first: string, repeated: string): EndpointScript =>
    (_request, socket) => {
        socket.write(STREAM_HEAD + first);
        const timer = setInterval(() => socket.write(repeated), 50);
        socket.on("close", () => clearInterval(timer));
    };
/** Sends both events, or those after the last one that the caller has. */
const streamRest: EndpointScript = (request, socket) => {
    const events = /Last-Event-Id: 1\r\n/i.test(request) ? formatEvent(2) : formatEvent(1) + formatEvent(2);
    socket.write(`${STREAM_HEAD}${events}0\r\n\r\n`);
};

let harness: GatewayHarness;
afterEach(() => harness.dispose());

async function start(route: GatewayRoute, ...scripts: readonly EndpointScript[]) {
    harness = await createGatewayHarness(route, scripts);
    return harness;
}

const countRequests = () => harness.endpoints.reduce((sum, endpoint) => sum + endpoint.listRequests().length, 0);

// Guards against 502 after a fraction of the route's time, for an answer that the one endpoint would have given.
describe("an attempt that takes longer than the route's objective", () => {
    it("is waited for if no other endpoint exists", async () => {
        const { send } = await start(REPEATABLE, answerAfter(700));
        const answer = await send();
        assert.deepEqual([answer.status, answer.body], [200, "hello"]);
    });
    it("is waited for if the other endpoint can't be reached", async () => {
        const { send, directory, components } = await start(REPEATABLE, answerAfter(700), answerAfter(700));
        const records = directory.listUsable("chat");
        for (const record of records.slice(1)) {
            record.suspectUntilMs = components.clock.readMonotonicMs() + 10_000;
        }
        assert.equal((await send()).status, 200);
        assert.equal(countRequests(), 1);
    });
    it("is waited for if the retry budget is used up", async () => {
        harness = await createGatewayHarness(REPEATABLE, [answerAfter(700), answerAfter(700)], {
            bounds: { retrySlack: 0 },
        });
        assert.equal((await harness.send()).status, 200);
        assert.equal(countRequests(), 1);
    });
    it("is given up for an endpoint that appears while it is waited for", async () => {
        const never: EndpointScript = () => undefined;
        const { send, directory, components } = await start(REPEATABLE, never, answerAfter(0));
        const [first, second] = directory.listUsable("chat");
        assert.ok(first !== undefined && second !== undefined);
        second.suspectUntilMs = components.clock.readMonotonicMs() + 500;
        const answer = await send();
        assert.equal(answer.status, 200);
        assert.equal(countRequests(), 2);
    });
    it("is ended with 504 at the route's timeout if nothing better appears", async () => {
        const { send } = await start({ ...REPEATABLE, timeoutMs: 800 }, () => undefined);
        assert.equal((await send()).status, 504);
    });
});

// Guards against slow streams that are broken off although no other endpoint could continue them.
describe("a stream that pauses for longer than three times the target", () => {
    it("goes on after its pause if no other endpoint exists", async () => {
        const { send } = await start(RESUMABLE, streamWithPause(1_400));
        const answer = await send();
        assert.equal(answer.body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        assert.ok(answer.isComplete);
    });
    it("ends with the route's timeout, and does not look complete, if it never goes on", async () => {
        const { send } = await start(RESUMABLE, streamWithPause(10_000));
        const startedAtMs = performance.now();
        const answer = await send();
        assert.ok(performance.now() - startedAtMs > 2_300);
        assert.ok(!answer.isComplete);
    });
});

// Guards against: a stream goes on at another endpoint while the slow one before works on it (TWICE).
describe("a stream whose endpoint is slow, and doesn't drop it when its connection closes", () => {
    const slowStream =
        (gapsMs: readonly number[]): EndpointScript =>
        async (_request, socket) => {
            socket.write(STREAM_HEAD);
            for (const [index, gapMs] of gapsMs.entries()) {
                await new Promise(resolve => setTimeout(resolve, gapMs));
                socket.write(formatEvent(index + 1));
            }
            socket.write("0\r\n\r\n");
        };
    for (const [name, gapsMs] of [
        ["before its first event", [1_500, 10]],
        ["between two events", [10, 1_500, 10]],
    ] as const) {
        it(`is waited for ${name}, though another endpoint is free`, async () => {
            const route = { ...RESUMABLE, objectiveMs: 600, gapTargetMs: 400, timeoutMs: 5_000 };
            const { send } = await start(route, slowStream(gapsMs), slowStream(gapsMs));
            const answer = await send();
            assert.equal(answer.body, gapsMs.map((_gap, index) => `id: ${index + 1}\ndata: x\n\n`).join(""));
            assert.ok(answer.isComplete);
            assert.equal(countRequests(), 1);
        });
    }
});

// Guards against stalled streams that seem alive by bytes that are no event.
describe("a stream without further events is continued elsewhere", () => {
    for (const [name, first, repeated] of [
        ["if only comments arrive", formatEvent(1), formatChunk(": keep-alive\n\n")],
        ["if only comments arrive before its first event", "", formatChunk(": keep-alive\n\n")],
        ["if an event arrives byte by byte", formatEvent(1) + formatChunk("data: "), formatChunk("x")],
    ] as const) {
        it(name, async () => {
            const route = { ...RESUMABLE, objectiveMs: 500 };
            let isFirst = true;
            const script: EndpointScript = (...request) => {
                (isFirst ? repeatForever(first, repeated) : streamRest)(...request);
                isFirst = false;
            };
            const { send } = await start(route, script, script);
            const answer = await send();
            assert.equal(answer.body.replaceAll(": keep-alive\n\n", ""), "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
            assert.ok(answer.isComplete);
            assert.equal(countRequests(), 2);
        });
    }
});

// Guards against sound streams that are broken off, or executed twice, because their caller reads slowly.
describe("a stream whose caller reads slowly", () => {
    it("is not given up for another endpoint", async () => {
        const event = `id: 1\ndata: ${"x".repeat(200_000)}\n\n`;
        const script: EndpointScript = (_request, socket) => {
            socket.write(STREAM_HEAD);
            for (let id = 1; id <= 80; id++) {
                socket.write(formatChunk(event.replace("1", String(id))));
            }
            socket.write("0\r\n\r\n");
        };
        const { listener } = await start({ ...RESUMABLE, timeoutMs: 10_000 }, script, script);
        const { port } = listener.server.address() as AddressInfo;
        const headers = { host: "news.example", authorization: "Bearer key-1", "redwinglift-attempt-id": "attempt-1" };
        const isComplete = await new Promise<boolean>((resolve, reject) => {
            const request = http.get({ host: "127.0.0.1", port, path: "/a/b", agent: false, headers }, response => {
                setTimeout(() => response.resume(), 1_600);
                response.on("error", () => undefined);
                response.on("close", () => resolve(response.complete));
            });
            request.on("error", reject);
        });
        assert.deepEqual([countRequests(), isComplete], [1, true]);
    });
});
