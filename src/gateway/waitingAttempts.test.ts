import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../decisions/gateway/_testing/makeRoute";
import { type GatewayRoute, RouteKind } from "../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "./_testing/createGatewayHarness";
import { type EndpointScript, formatAnswer } from "./_testing/startScriptedEndpoint";

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
