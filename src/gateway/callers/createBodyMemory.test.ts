import assert from "node:assert/strict";
import http from "node:http";
import { afterEach, describe, it } from "node:test";
import { setTimeout as waitMs } from "node:timers/promises";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { RouteKind } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { formatRequest, openCaller } from "../_testing/openCaller";
import { formatAnswer } from "../_testing/startScriptedEndpoint";

const MEBIBYTE = 1_048_576;
const BODY_BYTES = 4 * MEBIBYTE;
/** Bodies of requests may take 35 %, and large ones three quarters of that: the ninth of the largest exceeds it. */
const MEMORY_BYTES = 128 * MEBIBYTE;
const LARGE_BODIES_MAX = 9;
const ATTEMPT_ID = "Redwinglift-Attempt-Id: attempt-1";

let harness: GatewayHarness;
afterEach(() => harness.dispose());

/** Starts a gateway whose endpoint answers each request when it is told to. */
async function startGateway(formatReply: () => string, memoryBytesMax = MEMORY_BYTES) {
    const waiting: (() => void)[] = [];
    const route = makeRoute({ kind: RouteKind.NonIdempotent, attemptsMax: 1 });
    harness = await createGatewayHarness(
        route,
        [(_request, socket) => void waiting.push(() => socket.write(formatReply()))],
        { memoryBytesMax },
    );
    const current = harness.configuration.readCurrent()?.configuration.limits;
    assert.ok(current !== undefined);
    harness.apply({ limits: { ...current, bodyBytesMax: BODY_BYTES } });
    const answerAll = () => waiting.splice(0).forEach(answer => answer());
    return { answerAll, countForwarded: () => waiting.length };
}

/** Sends a request whose body has a length; gives the status, and the answer's length. */
function sendBody(bytes: number, headers: http.OutgoingHttpHeaders = {}) {
    return new Promise<{ status: number; retryAfter: string | undefined; bytes: number }>(resolve => {
        const request = http.request(
            {
                host: "127.0.0.1",
                port: harness.port,
                method: "POST",
                path: "/a/b",
                agent: false,
                headers: {
                    host: "news.example",
                    authorization: "Bearer key-1",
                    "redwinglift-attempt-id": "attempt-1",
                    ...headers,
                },
            },
            response => {
                let received = 0;
                response.on("data", (data: Buffer) => (received += data.length));
                response.on("close", () =>
                    resolve({
                        status: response.statusCode ?? 0,
                        retryAfter: response.headers["retry-after"],
                        bytes: received,
                    }),
                );
            },
        );
        request.on("error", () => resolve({ status: 0, retryAfter: undefined, bytes: 0 }));
        request.end(Buffer.alloc(bytes, "a"));
    });
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
    const endsAt = performance.now() + 5_000;
    while (!isTrue() && performance.now() < endsAt) {
        await waitMs(10);
    }
    assert.ok(isTrue(), String(isTrue));
}

describe("the bodies of all requests", () => {
    // Guards against: each body is within its own limit, and a burst of them takes the process over its memory (LOST).
    for (const [name, headers] of Object.entries({
        "with a length": { "content-length": BODY_BYTES },
        "in chunks": { "transfer-encoding": "chunked" },
    })) {
        it(`are held within the memory of the node: further ones get 503, not run, and may come back; ${name}`, async () => {
            const { answerAll, countForwarded } = await startGateway(() =>
                formatAnswer("ok", { headers: [ATTEMPT_ID] }),
            );
            const answers = Array.from({ length: 20 }, () => sendBody(BODY_BYTES, headers));
            const refused: number[] = [];
            answers.forEach(answer => void answer.then(({ status }) => status === 503 && refused.push(status)));
            await waitUntil(() => countForwarded() + refused.length === answers.length);
            assert.ok(countForwarded() > 0 && countForwarded() <= LARGE_BODIES_MAX, `${countForwarded()} forwarded`);
            assert.ok(harness.components.memory.requests.countBytes() <= LARGE_BODIES_MAX * BODY_BYTES);
            answerAll();
            const ended = await Promise.all(answers);
            assert.ok(ended.every(({ status }) => status === 200 || status === 503));
            assert.ok(ended.filter(({ status }) => status === 503).every(({ retryAfter }) => Number(retryAfter) > 0));
            await waitUntil(() => harness.components.memory.requests.countBytes() === 0);
        });
    }

    it("leave room for small ones while the largest take all of theirs", async () => {
        const { answerAll, countForwarded } = await startGateway(() => formatAnswer("ok", { headers: [ATTEMPT_ID] }));
        const large = Array.from({ length: 20 }, () => sendBody(BODY_BYTES, { "content-length": BODY_BYTES }));
        await waitUntil(() => countForwarded() === LARGE_BODIES_MAX);
        const small = sendBody(600);
        await waitUntil(() => countForwarded() === LARGE_BODIES_MAX + 1);
        answerAll();
        assert.equal((await small).status, 200);
        await waitMs(100);
        answerAll();
        await Promise.all(large);
    });
});

describe("the bodies of all answers", () => {
    // Guards against: callers that don't read their answers hold the memory of all others for good.
    it("are given back once a caller doesn't read its answer, which doesn't look whole to it", async () => {
        const { answerAll, countForwarded } = await startGateway(() =>
            formatAnswer("x".repeat(2 * BODY_BYTES - 1), { headers: [ATTEMPT_ID] }),
        );
        const limits = harness.configuration.readCurrent()?.configuration.limits;
        assert.ok(limits !== undefined);
        harness.apply({ limits: { ...limits, idleTimeoutMs: 300 } });
        const caller = openCaller(harness.port);
        caller.setReading(false);
        caller.write(formatRequest("attempt-1"));
        await waitUntil(() => countForwarded() === 1);
        answerAll();
        await waitUntil(() => harness.components.memory.answers.countBytes() > 0);
        await waitUntil(() => harness.components.memory.answers.countBytes() === 0);
        caller.setReading(true);
        assert.ok((await caller.whenClosed).received.length < BODY_BYTES * 2);
    });

    it("are held as long as a slow caller goes on reading", async () => {
        const { answerAll, countForwarded } = await startGateway(() =>
            formatAnswer("x".repeat(BODY_BYTES), { headers: [ATTEMPT_ID, "Connection: close"] }),
        );
        const limits = harness.configuration.readCurrent()?.configuration.limits;
        assert.ok(limits !== undefined);
        harness.apply({ limits: { ...limits, idleTimeoutMs: 600 } });
        const caller = openCaller(harness.port);
        caller.setReading(false);
        caller.write(formatRequest("attempt-1"));
        await waitUntil(() => countForwarded() === 1);
        answerAll();
        for (let pauses = 0; pauses < 8; pauses++) {
            await waitMs(200);
            caller.setReading(true);
            await waitMs(1);
            caller.setReading(false);
        }
        caller.setReading(true);
        await waitUntil(() => caller.readReceived().length > BODY_BYTES);
    });

    // Guards against: each answer is within its own limit, and all together take the process over its memory (LOST).
    for (const [name, formatReply] of Object.entries({
        "with a length": () => formatAnswer("x".repeat(BODY_BYTES), { headers: [ATTEMPT_ID] }),
        "in chunks": () =>
            `${formatAnswer("", { headers: [ATTEMPT_ID], length: "chunked" })}${`40000\r\n${"x".repeat(262_144)}\r\n`.repeat(16)}0\r\n\r\n`,
    })) {
        it(`are held within the memory of the node, and every one arrives whole; ${name}`, async () => {
            const { answerAll, countForwarded } = await startGateway(formatReply, 64 * MEBIBYTE);
            const answers = Array.from({ length: 12 }, () => sendBody(10));
            await waitUntil(() => countForwarded() === answers.length);
            let most = 0;
            const timer = setInterval(() => {
                most = Math.max(most, harness.components.memory.answers.countBytes());
            }, 1);
            answerAll();
            const ended = await Promise.all(answers);
            clearInterval(timer);
            assert.deepEqual(
                ended.map(({ status, bytes }) => `${status} ${bytes}`),
                ended.map(() => `200 ${BODY_BYTES}`),
            );
            // Six mebibytes are for large answers, one answer may exceed that, and one more is exempt.
            assert.ok(most <= 6 * MEBIBYTE + 2 * BODY_BYTES, `${most} bytes`);
            await waitUntil(() => harness.components.memory.answers.countBytes() === 0);
        });
    }
});
