import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Execution, FailureKind } from "../base/failure";
import { startScriptedEndpoint } from "../gateway/_testing/startScriptedEndpoint";
import { VmRole } from "../model/endpoint";
import { createChat, readEvents } from "./contracts/_lib/generations";
import { startRawServer } from "./contracts/_lib/startRawServer";
import { createEndpoint } from "./contracts/createEndpoint";
import { createHttpModelRunner } from "./httpModelRunner/createHttpModelRunner";
import { createHttpTable } from "./httpTable/createHttpTable";

const TIMEOUTS = { connectMs: 500, firstByteMs: 200, silenceMs: 200, wholeMs: 500 };
const HEAD = "HTTP/1.1 200 OK\r\n";
const STREAM_HEAD = `${HEAD}content-type: text/event-stream\r\n\r\n`;
const TOKEN = 'data: {"choices":[{"delta":{"content":"a"}}]}\n\n';

interface BadServer {
    readonly name: string;
    readonly parts: readonly string[];
    readonly endsAfter?: boolean;
    readonly repeats?: boolean;
    readonly pauseMs?: number;
}

const BAD_ANSWERS: readonly BadServer[] = [
    { name: "never answers", parts: [] },
    { name: "stops inside the head", parts: ["HTTP/1.1 200"] },
    { name: "stops inside the body", parts: [`${HEAD}content-length: 100\r\n\r\n{"row":`] },
    { name: "closes inside the body", parts: [`${HEAD}content-length: 100\r\n\r\n{"row":`], endsAfter: true },
    { name: "closes without a word", parts: [], endsAfter: true },
    { name: "answers with something else than HTTP", parts: ["SSH-2.0-OpenSSH\r\n"], endsAfter: true },
    { name: "answers with something else than JSON", parts: [`${HEAD}content-length: 5\r\n\r\nhello`] },
    { name: "answers with other JSON", parts: [`${HEAD}content-length: 14\r\n\r\n{"row":"none"}`] },
    { name: "has an endless head", parts: [HEAD, "x: y\r\n"], repeats: true },
    { name: "has a line of a head without end", parts: [`${HEAD}x: `, "y".repeat(1_000)], repeats: true },
    {
        name: "has a chunk extension without end",
        parts: [`${HEAD}transfer-encoding: chunked\r\n\r\n1;`, "x".repeat(1_000)],
        repeats: true,
    },
    { name: "sends bytes that are no answer without end", parts: ["\u0000 nothing of the protocol"], repeats: true },
    {
        name: "switches protocols",
        parts: ["HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n"],
    },
    { name: "has a status below 100", parts: ["HTTP/1.1 042 Low\r\ncontent-length: 2\r\n\r\n{}"] },
    { name: "has an endless body", parts: [`${HEAD}\r\n`, "x".repeat(1_000)], repeats: true },
    {
        name: "has an endless body in chunks",
        parts: [`${HEAD}transfer-encoding: chunked\r\n\r\n`, "1\r\nx\r\n"],
        repeats: true,
    },
    { name: "has informational answers without end", parts: ["HTTP/1.1 102 Processing\r\n\r\n"], repeats: true },
    { name: "sends a body slowly without end", parts: [`${HEAD}\r\n`, "x"], pauseMs: 50 },
    { name: "answers with a server error", parts: ["HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\n\r\n"] },
];

const BAD_STREAMS: readonly (BadServer & { readonly tokens: number; readonly kind: FailureKind })[] = [
    { name: "never answers", parts: [], tokens: 0, kind: FailureKind.EndpointSilent },
    { name: "begins and falls silent", parts: [STREAM_HEAD, TOKEN], tokens: 1, kind: FailureKind.EndpointSilent },
    {
        name: "ends without a finish reason",
        parts: [STREAM_HEAD, TOKEN, "data: [DONE]\n\n"],
        tokens: 1,
        kind: FailureKind.EndpointFailed,
    },
    {
        name: "closes before the end",
        parts: [STREAM_HEAD, TOKEN],
        endsAfter: true,
        tokens: 1,
        kind: FailureKind.EndpointFailed,
    },
    {
        name: "sends a chunk that is no JSON",
        parts: [STREAM_HEAD, TOKEN, "data: {\n\n"],
        tokens: 1,
        kind: FailureKind.EndpointFailed,
    },
    {
        name: "answers another request",
        parts: [`${HEAD}content-type: text/event-stream\r\nx-request-id: other/1\r\n\r\n`, TOKEN],
        tokens: 0,
        kind: FailureKind.EndpointFailed,
    },
    {
        name: "has informational answers without end",
        parts: ["HTTP/1.1 102 Processing\r\n\r\n"],
        repeats: true,
        tokens: 0,
        kind: FailureKind.EndpointSilent,
    },
    {
        name: "sends a chunk extension without end",
        parts: [`${HEAD}transfer-encoding: chunked\r\n\r\n1;`, "x".repeat(1_000)],
        repeats: true,
        tokens: 0,
        kind: FailureKind.EndpointFailed,
    },
    {
        name: "has a status below 100",
        parts: ["HTTP/1.1 042 Low\r\ncontent-length: 2\r\n\r\n{}"],
        tokens: 0,
        kind: FailureKind.EndpointFailed,
    },
    {
        name: "sends an event byte by byte without end",
        parts: [STREAM_HEAD, `${TOKEN}data: `, "x"],
        pauseMs: 50,
        tokens: 1,
        kind: FailureKind.EndpointSilent,
    },
    {
        name: "sends an endless event",
        parts: [STREAM_HEAD, "data: ", "x".repeat(10_000)],
        repeats: true,
        tokens: 0,
        kind: FailureKind.EndpointFailed,
    },
];

describe("A table answer is an unknown outcome of a commit, and a read is unavailable, when the server", () => {
    for (const { name, parts, ...options } of BAD_ANSWERS) {
        it(name, async () => {
            const server = await startRawServer(parts, options);
            const table = createHttpTable({ ...server, timeouts: TIMEOUTS });
            const committed = await table.commitTransaction({ token: "t", conditions: [], writes: [] });
            const read = await table.readRow("a");
            table.dispose();
            server.dispose();
            assert.equal(committed._unsafeUnwrapErr().kind, FailureKind.StoreOutcomeUnknown);
            assert.equal(read._unsafeUnwrapErr().kind, FailureKind.StoreUnavailable);
        });
    }
});

describe("A generation ends with a failure of unknown execution when the engine", () => {
    for (const { name, parts, tokens, kind, ...options } of BAD_STREAMS) {
        it(name, async () => {
            const server = await startRawServer(parts, options);
            const runners = createHttpModelRunner({ timeouts: TIMEOUTS });
            const read = await readEvents(
                runners.openGeneration(createEndpoint(VmRole.ModelRunner, server), {
                    id: { requestId: "r", attempt: 1 },
                    chat: createChat(5),
                    priority: 0,
                    resumedTexts: [],
                }),
            );
            runners.dispose();
            server.dispose();
            assert.equal(read.failure?.kind, kind);
            assert.equal(read.failure?.execution, Execution.Unknown);
            assert.equal(read.texts.length, tokens);
        });
    }
});

describe("An engine without the extension", () => {
    it("gives tokens under the request's own identity, numbered in order", async () => {
        const end = 'data: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n';
        const server = await startRawServer([STREAM_HEAD, TOKEN, TOKEN, end]);
        const runners = createHttpModelRunner({ timeouts: TIMEOUTS });
        const read = await readEvents(
            runners.openGeneration(createEndpoint(VmRole.ModelRunner, server), {
                id: { requestId: "r", attempt: 2 },
                chat: createChat(5),
                priority: 0,
                resumedTexts: ["one", "two"],
            }),
        );
        runners.dispose();
        server.dispose();
        assert.ok(read.isFinished);
        assert.deepEqual(
            read.events.flatMap(event => ("batch" in event ? [event.batch.offset] : [])),
            [2, 3],
        );
        assert.ok(read.ids.every(id => id.requestId === "r" && id.attempt === 2));
    });
});

// Guards against generations that are given up while their engine says that they wait in its queue.
describe("An engine that sends comments while a generation waits", () => {
    it("isn't silent", async () => {
        const endpoint = await startScriptedEndpoint((_request, socket) => {
            socket.write(STREAM_HEAD);
            const timer = setInterval(() => socket.write(": waiting\n\n"), 50);
            setTimeout(() => {
                clearInterval(timer);
                socket.write(`${TOKEN}data: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n`);
            }, 3 * TIMEOUTS.silenceMs);
        });
        const runners = createHttpModelRunner({ timeouts: TIMEOUTS });
        const read = await readEvents(
            runners.openGeneration(createEndpoint(VmRole.ModelRunner, endpoint), {
                id: { requestId: "r", attempt: 1 },
                chat: createChat(5),
                priority: 0,
                resumedTexts: [],
            }),
        );
        runners.dispose();
        endpoint.dispose();
        assert.ok(read.isFinished);
    });
});
