import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { Execution } from "../base/failure";
import { startScriptedEndpoint } from "../gateway/_testing/startScriptedEndpoint";
import { VmRole } from "../model/endpoint";
import { createChat, readEvents } from "./contracts/_lib/generations";
import { createEndpoint } from "./contracts/createEndpoint";
import { createHttpApplicationRunner } from "./httpApplicationRunner/createHttpApplicationRunner";
import { createHttpModelRunner } from "./httpModelRunner/createHttpModelRunner";

const TIMEOUTS = { connectMs: 500, firstByteMs: 500, silenceMs: 500, wholeMs: 1_000 };
const TOKEN = 'data: {"choices":[{"delta":{"content":"a"}}]}\n\n';
const LAST = 'data: {"choices":[{"delta":{"content":"b"},"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n';
const GARBAGE = "\u0000 nothing of the protocol\r\n\r\n";

const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const writeAndReset = (socket: Socket, text: string) => void socket.write(text, () => socket.resetAndDestroy());

interface Framing {
    readonly name: string;
    /** Formats the head and the text, of which this many bytes are announced. */
    readonly format: (text: string, bytes: number) => string;
    readonly end: string;
    readonly isEndedByClose: boolean;
}

const FRAMINGS: readonly Framing[] = [
    {
        name: "a length",
        format: (text, bytes) => `Content-Length: ${bytes}\r\n\r\n${text}`,
        end: "",
        isEndedByClose: false,
    },
    {
        name: "chunks",
        format: text => `Transfer-Encoding: chunked\r\n\r\n${toChunk(text)}`,
        end: "0\r\n\r\n",
        isEndedByClose: false,
    },
    { name: "its connection's end", format: text => `Connection: close\r\n\r\n${text}`, end: "", isEndedByClose: true },
];

interface Ending {
    readonly name: string;
    /** Writes the answer, of which `part` is the first half; `end` follows a whole one. */
    readonly write: (socket: Socket, answer: { part: string; whole: string; isEndedByClose: boolean }) => void;
    readonly isComplete: boolean;
    /** True if the connection's end can't end an answer in this way, or means that it is complete. */
    readonly isOnlyFramed?: boolean;
}

const ENDINGS: readonly Ending[] = [
    {
        name: "sent whole",
        write: (socket, { whole, isEndedByClose }) => void (isEndedByClose ? socket.end(whole) : socket.write(whole)),
        isComplete: true,
    },
    { name: "cut midway", write: (socket, { part }) => void socket.end(part), isComplete: false, isOnlyFramed: true },
    { name: "reset midway", write: (socket, { part }) => writeAndReset(socket, part), isComplete: false },
    {
        name: "followed by other bytes",
        write: (socket, { whole }) => void socket.write(whole + GARBAGE),
        isComplete: true,
        isOnlyFramed: true,
    },
];

/** Starts an endpoint that answers every request in this way. */
function startEndpoint(framing: Framing, ending: Ending, [first, second]: readonly [string, string], type: string) {
    const head = `HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\n`;
    const bytes = first.length + second.length;
    return startScriptedEndpoint((_request, socket) =>
        ending.write(socket, {
            part: head + framing.format(first, bytes),
            whole: head + framing.format(first + second, bytes) + framing.end,
            isEndedByClose: framing.isEndedByClose,
        }),
    );
}

const CASES = FRAMINGS.flatMap(framing => ENDINGS.map(ending => ({ framing, ending }))).filter(
    ({ framing, ending }) => !(framing.isEndedByClose && ending.isOnlyFramed === true),
);

// Guards against answers that were broken off and look complete, and against complete ones that are lost.
describe("the answer of an application runner", () => {
    for (const { framing, ending } of CASES) {
        it(`with ${framing.name}, ${ending.name}, ${ending.isComplete ? "is" : "does not look"} complete`, async () => {
            for (let round = 0; round < 3; round++) {
                const server = await startEndpoint(framing, ending, ["hello ", "world"], "text/plain");
                const runners = createHttpApplicationRunner({ timeouts: TIMEOUTS });
                const answer = await runners.callService(
                    createEndpoint(VmRole.ApplicationRunner, server),
                    { requestId: "r", attempt: 1 },
                    { serviceName: "s", method: "GET", path: "/", headers: {}, body: Buffer.alloc(0) },
                    { timeoutMs: 500, cancelled: new AbortController().signal },
                );
                runners.dispose();
                server.dispose();
                assert.equal(answer.isOk(), ending.isComplete);
                if (answer.isOk()) {
                    assert.equal(answer.value.body.toString(), "hello world");
                } else {
                    assert.equal(answer.error.execution, Execution.Unknown);
                }
            }
        });
    }
});

describe("the stream of a model runner", () => {
    const readStream = async (framing: Framing, ending: Ending, parts: readonly [string, string]) => {
        const server = await startEndpoint(framing, ending, parts, "text/event-stream");
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
        return read;
    };
    for (const { framing, ending } of CASES) {
        it(`with ${framing.name}, ${ending.name}, ${ending.isComplete ? "is" : "does not look"} complete`, async () => {
            const read = await readStream(framing, ending, [TOKEN, LAST]);
            assert.equal(read.isFinished, ending.isComplete);
            if (ending.isComplete) {
                assert.deepEqual(read.texts, ["a", "b"]);
            }
        });
    }
    for (const framing of FRAMINGS) {
        it(`with ${framing.name}, cut inside its last event, does not look complete`, async () => {
            const text = TOKEN + LAST.slice(0, -1);
            const cut: Ending = { name: "", write: (socket, { whole }) => void socket.end(whole), isComplete: false };
            assert.ok(!(await readStream(framing, cut, [text, ""])).isFinished);
        });
    }
});
