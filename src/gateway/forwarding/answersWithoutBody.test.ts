import assert from "node:assert/strict";
import http from "node:http";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { RouteKind } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";

/** Longer than an answer takes, and shorter than the route's timeout. */
const PROMPT_MS = 1_000;

let harness: GatewayHarness;
afterEach(() => harness.dispose());

/** Sends a request whose endpoint answers with a head alone, and keeps its connection. */
async function sendRequest(method: string, status: string, headers: readonly string[]) {
    harness = await createGatewayHarness(
        makeRoute({ kind: RouteKind.NonIdempotent, attemptsMax: 1, timeoutMs: 4 * PROMPT_MS }),
        [
            (_request, socket) => {
                const common = ["Redwinglift-Attempt-Id: attempt-1", "Redwinglift-Response-Seal: 3e1b.07"];
                socket.write([`HTTP/1.1 ${status}`, ...common, ...headers, "", ""].join("\r\n"));
            },
        ],
    );
    const beganAt = performance.now();
    const answers = [await harness.send({ method }), await harness.send({ method })];
    return { answers, tookMs: performance.now() - beganAt };
}

const CASES: readonly (readonly [
    name: string,
    method: string,
    status: string,
    headers: readonly string[],
    length: string | undefined,
])[] = [
    ["204", "POST", "204 No Content", [], undefined],
    ["204 with a length, which it must not have", "POST", "204 No Content", ["Content-Length: 0"], undefined],
    ["304 without a length", "GET", "304 Not Modified", [], undefined],
    ["304 with a length", "GET", "304 Not Modified", ["Content-Length: 500"], "500"],
    ["HEAD without a length", "HEAD", "200 OK", [], undefined],
    ["HEAD with a length", "HEAD", "200 OK", ["Content-Length: 500"], "500"],
    ["HEAD in chunks", "HEAD", "200 OK", ["Transfer-Encoding: chunked"], undefined],
    ["HEAD of a stream", "HEAD", "200 OK", ["Content-Type: text/event-stream"], undefined],
    ["HEAD with a length over the limit", "HEAD", "200 OK", ["Content-Length: 9000000000"], "9000000000"],
];

/** After answers to HEAD without a length or chunks, Node's client closes the connection itself. */
const CLOSED_BY_RUNTIME = ["HEAD without a length", "HEAD of a stream"];

describe("an answer that has no body by its status or method, on a connection that is kept", () => {
    // Guards against: the answer is never taken for whole, and its caller waits until the route's timeout.
    for (const [name, method, status, headers, length] of CASES) {
        it(`is relayed at once: ${name}`, async () => {
            const { answers, tookMs } = await sendRequest(method, status, headers);
            assert.ok(tookMs < PROMPT_MS, `${tookMs} ms`);
            for (const answer of answers) {
                assert.equal(answer.status, Number(status.slice(0, 3)));
                assert.ok(answer.isComplete);
                assert.equal(answer.headers["content-length"], length);
                assert.equal(answer.body, "");
            }
            if (!CLOSED_BY_RUNTIME.includes(name)) {
                assert.equal(harness.endpoints[0]?.countConnections(), 1);
            }
        });
    }

    it("leaves the connection of the caller usable", async () => {
        await sendRequest("POST", "204 No Content", []);
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        const statuses = [await harness.send({ method: "POST", agent }), await harness.send({ method: "POST", agent })];
        agent.destroy();
        assert.deepEqual(
            statuses.map(answer => answer.status),
            [204, 204],
        );
    });
});
