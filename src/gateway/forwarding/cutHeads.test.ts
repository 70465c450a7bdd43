import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { sendHttpCall } from "../../adapters/_lib/sendHttpCall";
import { AttemptOutcome } from "../../decisions/gateway/decideNextAction";
import { makeEndpointRecord, runAttempt } from "../_testing/runAttempt";
import { type EndpointScript, formatAnswer, startScriptedEndpoint } from "../_testing/startScriptedEndpoint";

const ID = "Redwinglift-Attempt-Id: attempt-1";
const STREAM = "Content-Type: text/event-stream";
const EVENT = "id: 1\ndata: x\n\n";

/** Whole heads; what follows them is a body, or nothing. */
const HEADS: Readonly<Record<string, string>> = {
    "a length": formatAnswer("", { headers: [ID], length: 5 }),
    "a length of nothing": formatAnswer("", { headers: [ID], length: 0 }),
    chunks: formatAnswer("", { headers: [ID], length: "chunked" }),
    "its connection's end": formatAnswer("", { headers: [ID, "Connection: close"], length: "none" }),
    "no body by its status": formatAnswer("", { status: "204 No Content", headers: [ID], length: "none" }),
    "a stream with its connection's end": formatAnswer("", { headers: [ID, STREAM], length: "none" }),
    "a head behind an informational one": `HTTP/1.1 103 Early Hints\r\n\r\n${formatAnswer("", { headers: [ID], length: 5 })}`,
    "a length, after an answer on the same connection": formatAnswer("", { headers: [ID], length: 5 }),
};

const ENDINGS: Readonly<Record<string, (socket: Socket, bytes: string) => void>> = {
    closed: (socket, bytes) => void socket.end(bytes),
    reset: (socket, bytes) => void socket.write(bytes, () => setTimeout(() => socket.resetAndDestroy(), 1)),
    "sent in two pieces and closed": (socket, bytes) => {
        socket.write(bytes.slice(0, bytes.length / 2));
        setTimeout(() => socket.end(bytes.slice(bytes.length / 2)), 1);
    },
};

/** Lists the beginnings of a head, without the whole one. */
const listCuts = (head: string) => Array.from({ length: head.length }, (_, bytes) => head.slice(0, bytes));

const disposals: (() => void)[] = [];
afterEach(() => disposals.splice(0).forEach(dispose => dispose()));

async function startEndpoint(script: EndpointScript) {
    const endpoint = await startScriptedEndpoint(script);
    disposals.push(endpoint.dispose);
    return endpoint;
}

describe("an answer that stops in the middle of its head", () => {
    // Guards against: the caller gets status 200 with an empty or short body that looks whole (MIXED, ORDER).
    for (const [name, head] of Object.entries(HEADS)) {
        for (const [ending, endConnection] of Object.entries(ENDINGS)) {
            it(`never looks whole: ${name}, ${ending}`, async () => {
                const isSecond = name.endsWith("the same connection");
                let cut = "";
                const endpoint = await startEndpoint((_request, socket, earlier) =>
                    isSecond && earlier % 2 === 0
                        ? socket.write(formatAnswer("hello", { headers: [ID] }))
                        : endConnection(socket, cut),
                );
                for (cut of listCuts(head)) {
                    const record = makeEndpointRecord(endpoint);
                    if (isSecond) {
                        const { result } = await runAttempt(record, {}, true);
                        assert.equal(result.end, AttemptOutcome.Answered);
                    }
                    const { result, isComplete, received } = await runAttempt(record);
                    assert.equal(result.end, AttemptOutcome.Lost, `after ${JSON.stringify(cut)}`);
                    assert.deepEqual([isComplete, received], [false, ""]);
                }
            });
        }
    }

    it("is whole with its last byte, so that the cuts above are those of a sound head", async () => {
        for (const [name, head] of Object.entries(HEADS)) {
            const isStream = head.includes(STREAM);
            const body = isStream ? EVENT : head.includes("chunked") ? "0\r\n\r\n" : "hello";
            const endpoint = await startEndpoint((_request, socket) => void socket.end(head + body));
            const { result } = await runAttempt(makeEndpointRecord(endpoint));
            assert.equal(result.end, isStream ? AttemptOutcome.Relayed : AttemptOutcome.Answered, name);
        }
    });

    it("is no answer to a call of the product's own path, of the store or the cloud", async () => {
        for (const [name, head] of Object.entries(HEADS)) {
            let cut = "";
            const endpoint = await startEndpoint((_request, socket) => void socket.end(cut));
            for (cut of listCuts(head)) {
                const outcome = await sendHttpCall(endpoint, { method: "GET", path: "/" });
                assert.equal(outcome.isAnswered, false, `${name}, after ${JSON.stringify(cut)}`);
            }
        }
    });
});
