import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as waitMs } from "node:timers/promises";
import { AttemptOutcome } from "../../decisions/gateway/decideNextAction";
import { makeEndpointRecord, runAttempt } from "../_testing/runAttempt";
import { formatAnswer, startScriptedEndpoint } from "../_testing/startScriptedEndpoint";

const ATTEMPT_ID = "Redwinglift-Attempt-Id: attempt-1";
const MEGABYTE = 1_048_576;
/** An endpoint that is cut off has sent no more than this: the limits, and what fits into the sockets' buffers. */
const SENT_BYTES_MAX = 24 * MEGABYTE;
/** The longest that a test waits for the gateway to close the connection. */
const CLOSE_TIMEOUT_MS = 5_000;

/** Writes text again and again until the connection is closed; counts the bytes. */
function writeWithoutEnd(socket: Socket, text: string, sent: { bytes: number }): void {
    const writeMore = () => {
        while (!socket.destroyed && sent.bytes < 10 * SENT_BYTES_MAX) {
            sent.bytes += text.length;
            if (!socket.write(text)) {
                socket.once("drain", writeMore);
                return;
            }
        }
    };
    writeMore();
}

const CASES: Readonly<Record<string, { readonly begin: string; readonly repeated: string }>> = {
    "a body without a length": {
        begin: formatAnswer("", { headers: [ATTEMPT_ID], length: "none" }),
        repeated: "x".repeat(16_384),
    },
    "a body in chunks": {
        begin: formatAnswer("", { headers: [ATTEMPT_ID], length: "chunked" }),
        repeated: `4000\r\n${"x".repeat(16_384)}\r\n`,
    },
    "a chunk extension": {
        begin: `${formatAnswer("", { headers: [ATTEMPT_ID], length: "chunked" })}1;`,
        repeated: "x".repeat(16_384),
    },
    "a body with a length beyond all limits": {
        begin: formatAnswer("", { headers: [ATTEMPT_ID], length: 9_000_000_000 }),
        repeated: "x".repeat(16_384),
    },
    "a head": { begin: "HTTP/1.1 200 OK\r\n", repeated: `X-Filler: ${"x".repeat(1_000)}\r\n` },
    "a line of a head": { begin: "HTTP/1.1 200 OK\r\nX-Filler: ", repeated: "x".repeat(16_384) },
    "informational answers": { begin: "", repeated: "HTTP/1.1 102 Processing\r\n\r\n" },
    "an event of a stream": {
        begin: `${formatAnswer("", { headers: [ATTEMPT_ID, "Content-Type: text/event-stream"], length: "none" })}data: `,
        repeated: "x".repeat(16_384),
    },
    "bytes that are no answer": { begin: "", repeated: "\u0000\u0001 nothing of the protocol ".repeat(100) },
};

describe("an endpoint that sends without end", () => {
    for (const [name, { begin, repeated }] of Object.entries(CASES)) {
        it(`${name} is cut off, and the caller gets nothing that looks complete`, async () => {
            const sent = { bytes: 0 };
            const endpoint = await startScriptedEndpoint((_request, socket) => {
                socket.write(begin);
                writeWithoutEnd(socket, repeated, sent);
            });
            const ended = new AbortController();
            const timer = setTimeout(() => ended.abort(AttemptOutcome.TimedOut), CLOSE_TIMEOUT_MS);
            const observed = await runAttempt(makeEndpointRecord(endpoint), { ended: ended.signal });
            clearTimeout(timer);
            endpoint.dispose();
            assert.equal(observed.result.end, AttemptOutcome.Lost, observed.result.reason);
            assert.equal(observed.isComplete, false);
            assert.equal(observed.received, "");
            assert.ok(sent.bytes <= SENT_BYTES_MAX, `${sent.bytes} bytes were taken`);
        });
    }

    // Guards against: a refusal was understood, and its body is read on for as long as the endpoint sends.
    for (const [name, { length, piece, periodMs }] of Object.entries({
        "without a length": { length: "none" as const, piece: "x".repeat(16_384), periodMs: 0 },
        "in chunks": { length: "chunked" as const, piece: `4000\r\n${"x".repeat(16_384)}\r\n`, periodMs: 0 },
        "in rare bytes": { length: 1_000, piece: "x", periodMs: 100 },
    })) {
        it(`the body of a refusal ${name} is cut off soon, and the request is free to go on elsewhere`, async () => {
            const sent = { bytes: 0 };
            let handleClose: () => void;
            const whenClosed = new Promise<void>(resolve => (handleClose = resolve));
            const headers = [ATTEMPT_ID, "Redwinglift-Not-Executed: 1"];
            const endpoint = await startScriptedEndpoint((_request, socket) => {
                socket.once("close", () => handleClose());
                socket.write(formatAnswer("", { status: "503 Service Unavailable", headers, length }));
                if (periodMs === 0) {
                    writeWithoutEnd(socket, piece, sent);
                    return;
                }
                const timer = setInterval(() => socket.write(piece), periodMs);
                socket.once("close", () => clearInterval(timer));
            });
            const beganAt = performance.now();
            const record = makeEndpointRecord(endpoint);
            const { result } = await runAttempt(record, {}, true);
            assert.equal(result.end, AttemptOutcome.NotExecuted);
            assert.ok(performance.now() - beganAt < 500);
            const isClosed = await Promise.race([whenClosed.then(() => true), waitMs(CLOSE_TIMEOUT_MS, false)]);
            record.connections.dispose();
            endpoint.dispose();
            assert.ok(isClosed, "the connection was read on");
            assert.ok(sent.bytes < SENT_BYTES_MAX, `${sent.bytes} bytes were taken`);
        });
    }
});
