import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { RouteKind } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { type EndpointScript, formatAnswer } from "../_testing/startScriptedEndpoint";

const ROUTE = makeRoute({
    kind: RouteKind.Streaming,
    attemptsMax: 2,
    gapTargetMs: 400,
    timeoutMs: 2_000,
    isResumable: true,
});
const ATTEMPT_ID = "Redwinglift-Attempt-Id: attempt-1";
const EVENT = "id: 1\ndata: x\n\n";
const ERROR_TEXT = "the engine failed";
const STREAM_HEAD = formatAnswer("", { headers: [ATTEMPT_ID, "Content-Type: text/event-stream"], length: "chunked" });

const formatChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
/** Sends an event and breaks off, whichever endpoint is asked first. */
const breakOff: EndpointScript = (_request, socket) => {
    socket.write(`${STREAM_HEAD}${formatChunk(EVENT)}`);
    setTimeout(() => socket.resetAndDestroy(), 30);
};
const isResumption = (request: string) => /last-event-id/i.test(request);
const answerError = (status: string, ...headers: readonly string[]) =>
    formatAnswer(ERROR_TEXT, { status, headers: [ATTEMPT_ID, ...headers] });

let harness: GatewayHarness;
afterEach(() => harness.dispose());

describe("a stream that broke off", () => {
    // Guards against: the text of another endpoint's error in the middle of a stream, or an end that looks complete.
    for (const [name, error] of [
        ["a failure", answerError("500 Internal Server Error")],
        ["a failure as events", answerError("500 Internal Server Error", "Content-Type: text/event-stream")],
        ["an unknown path", answerError("404 Not Found")],
        ["a refusal", answerError("503 Service Unavailable", "Redwinglift-Not-Executed: 1")],
        ["a refusal without a statement", answerError("429 Too Many Requests")],
        ["a success that is no stream", answerError("200 OK", "Content-Type: text/plain")],
        ["a redirect", answerError("302 Found", "Location: /b")],
    ] as const) {
        it(`gets no byte of it, and doesn't look complete, if the next endpoint answers with ${name}`, async () => {
            const script: EndpointScript = (request, socket, earlier) =>
                isResumption(request) ? void socket.write(error) : breakOff(request, socket, earlier);
            harness = await createGatewayHarness(ROUTE, [script, script]);
            const answer = await harness.send({ headers: { "redwinglift-attempt-id": "attempt-1" } });
            assert.deepEqual([answer.status, answer.isComplete, answer.body], [200, false, EVENT]);
        });
    }
});
