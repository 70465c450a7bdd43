import assert from "node:assert/strict";
import { after, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { type GatewayRoute, RouteKind } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { formatRequest, openCaller } from "../_testing/openCaller";
import { type EndpointScript, formatAnswer } from "../_testing/startScriptedEndpoint";

const ONCE = makeRoute({ kind: RouteKind.NonIdempotent, attemptsMax: 1, timeoutMs: 8_000 });
const STREAM = makeRoute({ kind: RouteKind.Streaming, attemptsMax: 1, gapTargetMs: 400, timeoutMs: 8_000 });
const EVENT = "id: 1\ndata: x\n\n";
const STREAM_HEAD = formatAnswer(`${EVENT.length.toString(16)}\r\n${EVENT}\r\n`, {
    headers: ["Content-Type: text/event-stream"],
    length: "chunked",
});

const pause = (delayMs: number) => new Promise(resolve => setTimeout(resolve, delayMs));
async function waitUntil(isDone: () => boolean) {
    while (!isDone()) {
        await pause(5);
    }
}
const staySilent: EndpointScript = () => undefined;
const beginStream: EndpointScript = (_request, socket) => socket.write(STREAM_HEAD);
const answerAfter =
    (delayMs: number, body = "hello"): EndpointScript =>
    (request, socket) => {
        const [, id = ""] = /Redwinglift-Attempt-Id: (\S+)/i.exec(request) ?? [];
        setTimeout(() => socket.write(formatAnswer(body, { headers: [`Redwinglift-Attempt-Id: ${id}`] })), delayMs);
    };

const harnesses: GatewayHarness[] = [];
after(() => harnesses.forEach(harness => harness.dispose()));

async function start(route: GatewayRoute, script: EndpointScript, graceMs: number) {
    const harness = await createGatewayHarness(route, [script], { bounds: { graceMs } });
    harnesses.push(harness);
    const call = (text: string) => {
        const caller = openCaller(harness.port);
        caller.write(text);
        return caller;
    };
    const countForwarded = () => harness.endpoints[0]?.listRequests().length ?? 0;
    const waitForForwarded = () => waitUntil(() => countForwarded() > 0);
    return { ...harness, call, countForwarded, waitForForwarded };
}

const NOT_RUN = /^HTTP\/1\.1 503 .*"execution":"not_run"/s;
const OUTCOME_UNKNOWN = /^HTTP\/1\.1 50[24] .*"execution":"unknown"/s;
const CLOSES = /\r\nconnection: close\r\n/i;

/** Asserts that the text is one answer with all bytes of its body. */
function assertComplete(received: string, status: RegExp) {
    assert.match(received, status);
    const bodyAt = received.indexOf("\r\n\r\n") + 4;
    const head = received.slice(0, bodyAt);
    assert.equal(received.length - bodyAt, Number(/content-length: (\d+)/i.exec(head)?.[1]));
}

describe("a node that stops", { concurrency: true }, () => {
    // Guards against: a request that may outlast the grace time is taken late, and the process ends without an answer.
    it("refuses a late request at once whose route allows more time than is left", async () => {
        const { call, stop, countForwarded } = await start({ ...ONCE, timeoutMs: 4_000 }, answerAfter(3_000), 4_000);
        const whenStopped = stop();
        await pause(1_650);
        const caller = call(formatRequest("late"));
        await pause(100);
        assertComplete(caller.readReceived(), NOT_RUN);
        await whenStopped;
        const { received, isReset } = await caller.whenClosed;
        assert.match(received, CLOSES);
        assert.deepEqual([countForwarded(), isReset], [0, false]);
    });

    // Guards against: a request that was taken in time gets no answer if its endpoint is slow.
    it("ends a request without an answer as unknown, early enough before the process ends", async () => {
        const { call, stop, waitForForwarded } = await start(ONCE, staySilent, 600);
        const caller = call(formatRequest("taken"));
        await waitForForwarded();
        await stop();
        const { received, isReset } = await caller.whenClosed;
        assertComplete(received, OUTCOME_UNKNOWN);
        assert.equal(isReset, false);
    });

    // Guards against: a stream whose answer ends with the connection looks complete when it is broken off.
    it("breaks off a stream visibly for a caller without chunks", async () => {
        const { call, stop } = await start(STREAM, beginStream, 600);
        const caller = call(formatRequest("old").replace("HTTP/1.1", "HTTP/1.0"));
        await waitUntil(() => caller.readReceived().includes("data: x"));
        assert.equal(await stop(), 1);
        const { received, isReset } = await caller.whenClosed;
        assert.match(received, /data: x/);
        assert.equal(isReset, true);
    });

    it("breaks off a stream visibly for a caller with chunks", async () => {
        const { call, stop } = await start(STREAM, beginStream, 600);
        const caller = call(formatRequest("new"));
        await waitUntil(() => caller.readReceived().includes("data: x"));
        assert.equal(await stop(), 1);
        assert.match((await caller.whenClosed).received, /data: x\n\n\r\n$/);
    });

    // Guards against: idle connections are destroyed at the end of the process if a stream is open until then.
    it("closes idle connections before it ends although a stream is still open", async () => {
        const { call, stop } = await start(STREAM, beginStream, 2_000);
        const caller = call(formatRequest("stream"));
        const kept = call(formatRequest("refused").replace("key-1", "none"));
        await waitUntil(() => kept.readReceived() !== "" && caller.readReceived().includes("data: x"));
        const order: string[] = [];
        const whenClosed = kept.whenClosed.then(({ isReset }) => order.push(`idle closed ${isReset}`));
        await stop().then(() => order.push("stopped"));
        await whenClosed;
        assert.deepEqual(order, ["idle closed false", "stopped"]);
    });

    // Guards against: the second of two requests on one connection is passed on, and the first answer closes it.
    it("does not pass a request on that was sent behind one whose answer closes the connection", async () => {
        const { call, stop, countForwarded, waitForForwarded } = await start(ONCE, answerAfter(200), 600);
        const caller = call(formatRequest("first") + formatRequest("second"));
        await waitForForwarded();
        await stop();
        assertComplete((await caller.whenClosed).received, /^HTTP\/1\.1 200 /);
        assert.equal(countForwarded(), 1);
    });

    // Guards against: a kept connection is closed under a request while the node still works on others.
    it("answers a request on a kept connection while another request is open", async () => {
        const { call, stop, countForwarded } = await start(ONCE, answerAfter(5_000), 8_000);
        call(formatRequest("long"));
        const kept = call(formatRequest("refused").replace("key-1", "none"));
        await waitUntil(() => kept.readReceived() !== "" && countForwarded() === 1);
        const whenStopped = stop();
        await pause(3_900);
        const earlier = kept.readReceived().length;
        kept.write(formatRequest("kept"));
        await whenStopped;
        const { received } = await kept.whenClosed;
        assertComplete(received.slice(earlier), NOT_RUN);
    });

    // Guards against: an idle connection is reset while a request is on its way.
    it("closes an idle connection without a reset under a request that crosses the close", async () => {
        const { call, listener, countForwarded } = await start(ONCE, answerAfter(0), 600);
        const caller = call(formatRequest("first"));
        await waitUntil(() => caller.readReceived() !== "");
        await pause(300);
        caller.write(formatRequest("crosses"));
        listener.closeIdle();
        const { received, isReset } = await caller.whenClosed;
        assertComplete(received, /^HTTP\/1\.1 200 /);
        assert.deepEqual([countForwarded(), isReset], [1, false]);
    });

    // Guards against: the process ends while a request's head is being received.
    it("waits for the rest of a head that was being received when nothing else was open", async () => {
        const { call, stop } = await start(ONCE, answerAfter(0), 8_000);
        const request = formatRequest("half");
        const whenStopped = stop();
        await pause(1_500);
        const caller = call(request.slice(0, 40));
        await pause(2_400);
        caller.write(request.slice(40));
        await whenStopped;
        assertComplete((await caller.whenClosed).received, NOT_RUN);
    });

    // Guards against: a request whose head or body does not arrive whole gets no answer before the process ends.
    for (const [name, text] of [
        ["head", formatRequest("head").slice(0, 40)],
        ["body", formatRequest("body", { body: "pay", bodyBytes: 500 })],
    ] as const) {
        it(`refuses a request whose ${name} has not arrived whole before the process ends`, async () => {
            const { call, stop, listener, countForwarded } = await start(ONCE, answerAfter(0), 600);
            const caller = call(text);
            await waitUntil(() => listener.countCallers().connections === 1);
            await pause(50);
            await stop();
            const { received, isReset } = await caller.whenClosed;
            assertComplete(received, NOT_RUN);
            assert.deepEqual([countForwarded(), isReset], [0, false]);
        });
    }

    // Guards against: the rest of a refused request's body is taken for the head of another one.
    it("sends no second answer to a request that was refused before the signal while its body was arriving", async () => {
        const { call, stop } = await start(ONCE, answerAfter(0), 600);
        const caller = call(formatRequest("body", { body: "pay", bodyBytes: 500 }).replace("key-1", "none"));
        await waitUntil(() => caller.readReceived() !== "");
        await stop();
        assertComplete((await caller.whenClosed).received, /^HTTP\/1\.1 401 /);
    });

    it("sends a large answer whole to a caller that reads late", async () => {
        const { call, stop } = await start(ONCE, answerAfter(0, "x".repeat(7_000_000)), 2_000);
        const caller = call(formatRequest("large"));
        caller.setReading(false);
        await pause(200);
        const whenStopped = stop();
        await pause(600);
        caller.setReading(true);
        assert.equal(await whenStopped, 0);
        assertComplete((await caller.whenClosed).received, /^HTTP\/1\.1 200 /);
    });

    it("refuses requests while no endpoint is left", async () => {
        const { call, stop, directory } = await start(ONCE, answerAfter(0), 600);
        directory.replaceAll([], false);
        const whenStopped = stop();
        const caller = call(formatRequest("none"));
        await whenStopped;
        assertComplete((await caller.whenClosed).received, NOT_RUN);
    });
});
