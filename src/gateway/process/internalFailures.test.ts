import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { waitUntil } from "../../adapters/contracts/waitUntil";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { type GatewayRoute, RouteKind } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { formatRequest, openCaller } from "../_testing/openCaller";
import { type EndpointScript, formatAnswer } from "../_testing/startScriptedEndpoint";
import type { GatewayComponents } from "../gatewayComponents";

const ATTEMPT_ID = "Redwinglift-Attempt-Id: attempt-1";
const ONCE = makeRoute({ kind: RouteKind.NonIdempotent, attemptsMax: 1 });
const REPEATABLE = makeRoute({ attemptsMax: 2 });
const STREAM = makeRoute({ kind: RouteKind.Streaming, attemptsMax: 1, gapTargetMs: 400, timeoutMs: 5_000 });
/** A request that is answered later has waited for its timeout, and not got its answer from the owner of the error. */
const ANSWER_MAX_MS = 1_500;

const answerWhole: EndpointScript = (_request, socket) =>
    socket.write(formatAnswer("hello", { headers: [ATTEMPT_ID] }));
const answerStream: EndpointScript = (_request, socket) => {
    const head = formatAnswer("", { headers: [ATTEMPT_ID, "Content-Type: text/event-stream"], length: "chunked" });
    socket.write(`${head}b\r\nid: 1\ndata:\r\n4\r\n x\n\n\r\n0\r\n\r\n`);
};

type Replace = (components: GatewayComponents) => Partial<GatewayComponents>;

/** Gives a function that throws at its first call, and then does what the given one does. */
function failOnce<A extends unknown[], R>(call: (...values: A) => R): (...values: A) => R {
    let calls = 0;
    return (...values) => {
        if (calls++ === 0) {
            throw new Error("planted");
        }
        return call(...values);
    };
}

/** A throw within the path of a request, and what its caller must get. */
interface Plant {
    readonly route: GatewayRoute;
    readonly script: EndpointScript;
    readonly replace: Replace;
    readonly status: number;
    /** As the answer's body states it. */
    readonly execution?: "not_run" | "unknown";
}

const PLANTS: Readonly<Record<string, Plant>> = {
    "the reading of the caller's head": {
        route: ONCE,
        script: answerWhole,
        replace: ({ codec }) => ({ codec: { ...codec, readCallerHead: failOnce(codec.readCallerHead) } }),
        status: 503,
        execution: "not_run",
    },
    "the look-up of the configuration": {
        route: ONCE,
        script: answerWhole,
        replace: ({ configuration }) => ({
            configuration: { ...configuration, computeAgeMs: failOnce(configuration.computeAgeMs) },
        }),
        status: 503,
        execution: "not_run",
    },
    "the choice of a service": {
        route: ONCE,
        script: answerWhole,
        replace: ({ random }) => ({ random: { ...random, drawFraction: failOnce(random.drawFraction) } }),
        status: 503,
        execution: "not_run",
    },
    "the choice of an endpoint": {
        route: ONCE,
        script: answerWhole,
        replace: ({ directory }) => ({ directory: { ...directory, listUsable: failOnce(directory.listUsable) } }),
        status: 503,
        execution: "not_run",
    },
    "the record of an attempt that begins": {
        route: ONCE,
        script: answerWhole,
        replace: ({ rollouts }) => ({ rollouts: { ...rollouts, beginAttempt: failOnce(rollouts.beginAttempt) } }),
        status: 503,
        execution: "not_run",
    },
    "the count of the time before the first attempt": {
        route: ONCE,
        script: answerWhole,
        replace: ({ metrics }) => ({ metrics: { ...metrics, recordOverhead: failOnce(metrics.recordOverhead) } }),
        status: 503,
        execution: "not_run",
    },
    "the headers for the endpoint": {
        route: ONCE,
        script: answerWhole,
        replace: ({ codec }) => ({ codec: { ...codec, buildEndpointHeaders: failOnce(codec.buildEndpointHeaders) } }),
        status: 503,
        execution: "not_run",
    },
    "the reading of the answer's head": {
        route: ONCE,
        script: answerWhole,
        replace: ({ codec }) => ({ codec: { ...codec, readResponseHead: failOnce(codec.readResponseHead) } }),
        status: 502,
        execution: "unknown",
    },
    "the headers for the caller": {
        route: ONCE,
        script: answerWhole,
        replace: ({ codec }) => ({ codec: { ...codec, buildCallerHeaders: failOnce(codec.buildCallerHeaders) } }),
        status: 502,
        execution: "unknown",
    },
    "what is learned from an answer": {
        route: ONCE,
        script: answerWhole,
        replace: ({ limits }) => ({ limits: { ...limits, recordAnswer: failOnce(limits.recordAnswer) } }),
        status: 502,
        execution: "unknown",
    },
    "what is learned from the whole answer": {
        route: ONCE,
        script: answerWhole,
        replace: ({ metrics }) => ({ metrics: { ...metrics, recordFirstPart: failOnce(metrics.recordFirstPart) } }),
        status: 502,
        execution: "unknown",
    },
    "what is learned from an ended attempt": {
        route: ONCE,
        script: answerWhole,
        replace: ({ metrics }) => ({ metrics: { ...metrics, countAttempt: failOnce(metrics.countAttempt) } }),
        status: 502,
        execution: "unknown",
    },
    "the first event of a stream": {
        route: STREAM,
        script: answerStream,
        replace: ({ metrics }) => ({ metrics: { ...metrics, recordFirstPart: failOnce(metrics.recordFirstPart) } }),
        status: 502,
        execution: "unknown",
    },
    "the reading of an answer's head, where another attempt may follow": {
        route: REPEATABLE,
        script: answerWhole,
        replace: ({ codec }) => ({ codec: { ...codec, readResponseHead: failOnce(codec.readResponseHead) } }),
        status: 200,
    },
    "the count of a request that is answered": {
        route: ONCE,
        script: answerWhole,
        replace: ({ metrics }) => ({ metrics: { ...metrics, countRequest: failOnce(metrics.countRequest) } }),
        status: 200,
    },
};

describe("an error inside a gateway", () => {
    let harness: GatewayHarness;
    afterEach(() => harness.dispose());

    for (const [name, { route, script, replace, status, execution }] of Object.entries(PLANTS)) {
        // Guards against: an error in the path of a request leaves its caller without an answer, or says a wrong execution.
        it(`is answered with ${status}, and counted, in ${name}`, { timeout: 20_000 }, async () => {
            harness = await createGatewayHarness(route, [script, script], { replace });
            const beganAtMs = performance.now();
            const answer = await harness.send({ method: "POST", body: "ping" });
            const durationMs = performance.now() - beganAtMs;
            const runs = harness.endpoints.flatMap(endpoint => endpoint.listRequests()).length;
            assert.deepEqual([answer.status, answer.isComplete], [status, true]);
            assert.ok(durationMs < ANSWER_MAX_MS, `${durationMs} ms`);
            if (execution !== undefined) {
                assert.match(answer.body, new RegExp(`"${execution}"`));
                assert.equal(runs, execution === "not_run" ? 0 : 1);
            }
            assert.match(
                await harness.components.metrics.formatMetrics(),
                /redwinglift_internal_failures_total\{.*\} 1\b/,
            );
            assert.deepEqual(
                harness.directory.listUsable("chat").map(record => [record.ownInFlight, record.pendingTokens]),
                [
                    [0, 0],
                    [0, 0],
                ],
            );
            const next = await harness.send({ method: "POST", body: "ping" });
            assert.equal(next.status, 200);
            assert.equal(harness.listener.countOpen(), 0);
        });
    }

    // Guards against: an error that concerns one request ends a planned stop, which cuts all others.
    it("leaves the other requests their answers at the end of a stop", async () => {
        harness = await createGatewayHarness(ONCE, [() => undefined], {
            replace: ({ metrics }) => ({ metrics: { ...metrics, countRequest: failOnce(metrics.countRequest) } }),
        });
        const { endpoints, listener, port } = harness;
        const sending = openCaller(port);
        sending.write(formatRequest("sending", { body: "half", bodyBytes: 8 }));
        await waitUntil(() => listener.countCallers().phases.body === 1, "a body is on its way");
        const forwarded = harness.send();
        await waitUntil(() => endpoints[0]?.listRequests().length === 1, "a request is forwarded");
        listener.endRequests();
        const { status, isComplete } = await forwarded;
        assert.deepEqual([status, isComplete], [504, true]);
        await waitUntil(() => listener.countOpen() === 0, "both are answered");
        assert.match(sending.readReceived(), /^HTTP\/1\.1 503 [^]*"not_run"/);
    });

    // Guards against: the answer to a request is cut although it was whole, since something after it failed.
    it("leaves an answer whole that its endpoint has given, if the configuration has an odd idle timeout", async () => {
        const text = "x".repeat(4_000_000);
        const answerLong: EndpointScript = (_request, socket) =>
            socket.write(formatAnswer(text, { headers: [ATTEMPT_ID] }));
        harness = await createGatewayHarness(ONCE, [answerLong]);
        const limits = { headerBytesMax: 16_384, bodyBytesMax: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: -1 };
        harness.apply({ limits });
        const answer = await harness.send();
        assert.deepEqual([answer.status, answer.isComplete, answer.body.length], [200, true, text.length]);
    });
});
