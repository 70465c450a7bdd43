import assert from "node:assert/strict";
import net from "node:net";
import { afterEach, describe, it } from "node:test";
import { err } from "neverthrow";
import OpenAI from "openai";
import { closeChannel, sendMessage } from "../base/csp";
import { createFailure } from "../base/createFailure";
import { Execution, FailureKind } from "../base/failure";
import { FinishReason } from "../model/request";
import { AnswerEventKind } from "../tasks/execution/executionClient";
import {
    CLERK_KEY,
    createFaceFixture,
    CREW_KEY,
    type FaceFixture,
    type FaceFixtureOptions,
    type StartedChat,
} from "./_testing/createFaceFixture";
import type { FailureBody } from "../http/buildFailureBody";

let fixture: FaceFixture | undefined;

async function openFace(options: FaceFixtureOptions = {}): Promise<FaceFixture> {
    fixture = await createFaceFixture(options);
    return fixture;
}

afterEach(() => {
    fixture?.dispose();
    fixture = undefined;
});

async function streamWords(started: StartedChat, words: readonly string[]): Promise<void> {
    for (const [offset, word] of words.entries()) {
        await sendMessage(started.answers, { kind: AnswerEventKind.Tokens, batch: { offset, texts: [word] } });
    }
    await sendMessage(started.answers, {
        kind: AnswerEventKind.Finished,
        reason: FinishReason.Stop,
        usage: { promptTokens: 5, outputTokens: words.length, cachedTokens: 2 },
    });
    closeChannel(started.answers);
}

async function failAfter(started: StartedChat, words: readonly string[], kind: FailureKind): Promise<void> {
    for (const [offset, word] of words.entries()) {
        await sendMessage(started.answers, { kind: AnswerEventKind.Tokens, batch: { offset, texts: [word] } });
    }
    const failure = createFailure(kind, "It failed.", { execution: Execution.Unknown, retryAfterMs: 1_500 });
    await sendMessage(started.answers, { kind: AnswerEventKind.Failed, failure });
    closeChannel(started.answers);
}

function createOpenAiClient(face: FaceFixture): OpenAI {
    return new OpenAI({ apiKey: CREW_KEY, baseURL: `${face.baseUrl}/v1`, maxRetries: 0 });
}

function request(face: FaceFixture, path: string, init: RequestInit = {}, key = CREW_KEY): Promise<Response> {
    return fetch(`${face.baseUrl}${path}`, { ...init, headers: { authorization: `Bearer ${key}`, ...init.headers } });
}

async function readError(response: Response): Promise<FailureBody["error"]> {
    return ((await response.json()) as FailureBody).error;
}

const QUESTION = { model: "assistant", messages: [{ role: "user" as const, content: "Is feeder 7 back?" }] };

describe("the official client", () => {
    it("receives a streamed answer with its token counts", async () => {
        const face = await openFace({ play: started => void streamWords(started, ["Feeder", " 7", " is back."]) });
        const stream = await createOpenAiClient(face).chat.completions.create({
            ...QUESTION,
            stream: true,
            stream_options: { include_usage: true },
        });
        let text = "";
        let outputTokens = 0;
        for await (const chunk of stream) {
            text += chunk.choices[0]?.delta.content ?? "";
            outputTokens = chunk.usage?.completion_tokens ?? outputTokens;
        }
        assert.equal(text, "Feeder 7 is back.");
        assert.equal(outputTokens, 3);
    });

    it("receives a whole answer", async () => {
        const face = await openFace({ play: started => void streamWords(started, ["Yes", "."]) });
        const completion = await createOpenAiClient(face).chat.completions.create(QUESTION);
        assert.equal(completion.choices[0]?.message.content, "Yes.");
        assert.equal(completion.choices[0]?.finish_reason, "stop");
        assert.equal(completion.usage?.total_tokens, 7);
    });

    it("lists and reads models", async () => {
        const face = await openFace();
        const models = await createOpenAiClient(face).models.list();
        assert.deepEqual(
            models.data.map(model => model.id),
            ["assistant"],
        );
        assert.equal((await createOpenAiClient(face).models.retrieve("assistant")).id, "assistant");
    });

    it("sees a failure before the first token as an HTTP error with its type and retry hint", async () => {
        const face = await openFace({ play: started => void failAfter(started, [], FailureKind.Overloaded) });
        const failed = createOpenAiClient(face).chat.completions.create({ ...QUESTION, stream: true });
        await assert.rejects(failed, (error: InstanceType<typeof OpenAI.APIError>) => {
            assert.equal(error.status, 429);
            assert.equal(error.code, "overloaded");
            assert.equal(error.headers?.get("retry-after"), "2");
            return true;
        });
    });

    it("sees a failure after the first token as an error, never as a complete answer", async () => {
        const face = await openFace({
            play: started => void failAfter(started, ["Feeder"], FailureKind.EndpointFailed),
        });
        const stream = await createOpenAiClient(face).chat.completions.create({ ...QUESTION, stream: true });
        await assert.rejects(async () => {
            for await (const chunk of stream) {
                assert.notEqual(chunk.choices[0]?.finish_reason, "stop");
            }
        }, /It failed/);
    });
});

describe("a refused request", () => {
    const chatCases = [
        { name: "malformed JSON", body: "{", kind: FailureKind.MalformedBody, status: 400 },
        { name: "bad UTF-8", body: Buffer.from([0x22, 0xff, 0x22]), kind: FailureKind.InvalidText, status: 400 },
        { name: "a body of the wrong shape", body: "[]", kind: FailureKind.InvalidRequest, status: 400 },
        {
            name: "an unknown model",
            body: JSON.stringify({ ...QUESTION, model: "__proto__" }),
            kind: FailureKind.UnknownModel,
            status: 404,
        },
        { name: "a large body", body: "x".repeat(65_537), kind: FailureKind.BodyTooLarge, status: 413 },
    ];
    for (const { name, body, kind, status } of chatCases) {
        it(`names ${name} and reaches no runner`, async () => {
            const face = await openFace();
            const response = await request(face, "/v1/chat/completions", { method: "POST", body });
            const error = await readError(response);
            assert.equal(response.status, status);
            assert.equal(error.type, kind);
            assert.equal(error.execution, Execution.NotRun);
            assert.equal(face.started.length, 0);
        });
    }

    it("names a large body sent without a length", async () => {
        const face = await openFace();
        const body = new ReadableStream({
            start: controller => {
                controller.enqueue(new Uint8Array(70_000));
                controller.close();
            },
        });
        const response = await request(face, "/v1/chat/completions", {
            method: "POST",
            body,
            duplex: "half",
        } as RequestInit);
        assert.equal((await readError(response)).type, FailureKind.BodyTooLarge);
    });

    it("names an unknown class", async () => {
        const face = await openFace();
        const init = { method: "POST", body: JSON.stringify(QUESTION), headers: { "redwinglift-class": "digest" } };
        const response = await request(face, "/v1/chat/completions", init);
        assert.equal((await readError(response)).type, FailureKind.UnknownClass);
    });

    it("needs a known key", async () => {
        const face = await openFace();
        const response = await request(face, "/v1/models", {}, "rwl_wrong");
        assert.equal(response.status, 401);
        assert.equal((await readError(response)).type, FailureKind.Unauthenticated);
    });

    it("says which methods a path does not take, and which paths there are not", async () => {
        const face = await openFace();
        assert.equal((await request(face, "/v1/models", { method: "POST" })).status, 405);
        assert.equal((await request(face, "/v2/models")).status, 404);
        assert.equal((await request(face, "/v1/models/%ff")).status, 400);
    });
});

describe("limits on callers", () => {
    it("answer malformed HTTP with a typed body", async () => {
        const face = await openFace();
        const reply = await sendRaw(face, "BREW /coffee\r\n\r\n");
        assert.match(reply, /^HTTP\/1.1 400 /);
        assert.match(reply, /"type":"invalid_request"/);
    });

    for (const target of ["//", "http://[", "*", "/%", "//user@:x/"]) {
        it(`answer the unreadable target ${target} and go on serving`, async () => {
            const face = await openFace();
            const head = `GET ${target} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${CREW_KEY}\r\nconnection: close`;
            assert.match(await sendRaw(face, `${head}\r\n\r\n`), /^HTTP\/1.1 40[04] /);
            assert.equal((await request(face, "/v1/models")).status, 200);
        });
    }

    it("end a caller whose headers never arrive", async () => {
        const face = await openFace({ limits: { headerMs: 50 } });
        const reply = await sendRaw(face, "GET /v1/models HTTP/1.1\r\nhost: a\r\n");
        assert.match(reply, /^HTTP\/1.1 408 /);
        assert.match(reply, /"type":"caller_too_slow"/);
    });

    it("end a caller whose body stops arriving", async () => {
        const face = await openFace({ limits: { idleMs: 50 } });
        const head = `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${CREW_KEY}\r\n`;
        const reply = await sendRaw(face, `${head}content-length: 10\r\n\r\n{`);
        assert.match(reply, /"type":"caller_too_slow"/);
    });

    it("tell a connection over the limit and serve the others", async () => {
        const face = await openFace({ limits: { connections: 1 } });
        const first = net.connect(face.listener.port, "127.0.0.1");
        await new Promise(resolve => first.once("connect", resolve));
        assert.match(await sendRaw(face, "GET /v1/models HTTP/1.1\r\n\r\n"), /"type":"too_many_connections"/);
        first.destroy();
    });

    it("refuse requests over the limit of open ones", async () => {
        const face = await openFace({ limits: { openRequests: 1 } });
        const waiting = request(face, "/v1/chat/completions", { method: "POST", body: JSON.stringify(QUESTION) });
        waiting.catch(() => undefined);
        await waitUntil(() => face.started.length === 1);
        const refused = await request(face, "/v1/models");
        assert.equal((await readError(refused)).type, FailureKind.TooManyConnections);
        await streamWords(face.started[0]!, ["Yes"]);
        assert.equal((await waiting).status, 200);
    });

    it("hold the execution back while the reader is slow", async () => {
        let sentBatches = 0;
        const face = await openFace({
            play: started => {
                const batch = { offset: 0, texts: ["x".repeat(100_000)] };
                const sendNext = async (): Promise<void> => {
                    const sent = await sendMessage(started.answers, { kind: AnswerEventKind.Tokens, batch });
                    if (sent && sentBatches < 1_000) {
                        sentBatches++;
                        await sendNext();
                    }
                };
                void sendNext();
            },
        });
        const socket = net.connect(face.listener.port, "127.0.0.1");
        socket.pause();
        const body = JSON.stringify({ ...QUESTION, stream: true });
        const head = `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${CREW_KEY}\r\n`;
        socket.write(`${head}content-length: ${body.length}\r\n\r\n${body}`);
        let before = -1;
        await waitUntil(() => {
            const isStill = sentBatches > 0 && sentBatches === before;
            before = sentBatches;
            return isStill;
        }, 100);
        assert.ok(sentBatches < 1_000, `${sentBatches} batches were taken from a reader that reads nothing`);
        socket.destroy();
        await waitUntil(() => face.started[0]!.isCancelled);
    });
});

describe("a caller that leaves", () => {
    it("cancels the work", async () => {
        const face = await openFace();
        const abort = new AbortController();
        const init = { method: "POST", body: JSON.stringify(QUESTION), signal: abort.signal };
        const left = request(face, "/v1/chat/completions", init);
        left.catch(() => undefined);
        await waitUntil(() => face.started.length === 1);
        abort.abort();
        await waitUntil(() => face.started[0]!.isCancelled);
    });
});

describe("jobs", () => {
    it("are accepted with 202 and shown to their own account only", async () => {
        const face = await openFace();
        const init = { method: "POST", body: JSON.stringify(QUESTION), headers: { prefer: "respond-async, wait=5" } };
        const accepted = await request(face, "/v1/chat/completions", init);
        const location = accepted.headers.get("location") ?? "";
        assert.equal(accepted.status, 202);
        assert.match(location, /^\/v1\/jobs\/[0-9A-Z]{26}$/);
        assert.equal((await request(face, location)).status, 200);
        assert.equal((await request(face, location, {}, CLERK_KEY)).status, 404);
        const cancelled = (await (await request(face, location, { method: "DELETE" })).json()) as { status: string };
        assert.equal(cancelled.status, "cancelled");
    });

    it("refuse a bad page length", async () => {
        const face = await openFace();
        assert.equal((await request(face, "/v1/jobs?limit=0")).status, 400);
        assert.equal((await request(face, "/v1/jobs?limit=5")).status, 200);
    });
});

describe("service calls", () => {
    it("go on with path, query and body, without the caller's key", async () => {
        const face = await openFace();
        const init = { method: "POST", body: "amount=5", headers: { "idempotency-key": '"posting-1"' } };
        const response = await request(face, "/services/ledger/post%20it/now?dry=1", init);
        assert.equal(await response.text(), "amount=5");
        assert.equal(response.headers.get("x-ledger"), "yes");
        const call = face.calls[0]!;
        assert.equal(call.path, "/post%20it/now?dry=1");
        assert.equal(call.headers["authorization"], undefined);
    });

    it("show a failure's execution as it is", async () => {
        const failure = createFailure(FailureKind.OutcomeUnknown, "No answer.", { execution: Execution.Unknown });
        const face = await openFace({ answerCall: () => Promise.resolve(err(failure)) });
        const error = await readError(await request(face, "/services/ledger/post", { method: "POST", body: "x" }));
        assert.equal(error.execution, "unknown");
    });

    it("know application services only", async () => {
        const face = await openFace();
        assert.equal((await request(face, "/services/assistant/x")).status, 404);
    });
});

describe("leaving", () => {
    it("finishes requests in progress and refuses new ones with a true not_run", async () => {
        const face = await openFace();
        const inProgress = request(face, "/v1/chat/completions", { method: "POST", body: JSON.stringify(QUESTION) });
        await waitUntil(() => face.started.length === 1);
        face.listener.announceLeaving();
        assert.equal((await fetch(`${face.baseUrl}/health/ready`)).status, 503);
        assert.equal((await request(face, "/v1/models")).status, 200);
        face.listener.refuseNew();
        const error = await readError(await request(face, "/v1/models"));
        assert.equal(error.type, FailureKind.ShuttingDown);
        assert.equal(error.execution, Execution.NotRun);
        assert.equal(await face.listener.waitUntilIdle(10), 1);
        await streamWords(face.started[0]!, ["Done"]);
        assert.equal((await inProgress).status, 200);
        assert.equal(await face.listener.waitUntilIdle(5_000), 0);
    });
});

async function waitUntil(condition: () => boolean, pauseMs = 5): Promise<void> {
    for (let tries = 0; tries < 1_000; tries++) {
        if (condition()) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
    assert.fail("the condition never became true");
}

function sendRaw(face: FaceFixture, text: string): Promise<string> {
    return new Promise((resolve, reject) => {
        const socket = net.connect(face.listener.port, "127.0.0.1", () => socket.write(text));
        let reply = "";
        socket.on("data", chunk => (reply += chunk.toString()));
        socket.on("close", () => resolve(reply));
        socket.on("error", reject);
    });
}
