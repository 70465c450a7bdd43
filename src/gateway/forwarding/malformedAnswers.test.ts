import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { RouteKind } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { formatAnswer } from "../_testing/startScriptedEndpoint";

const ATTEMPT_ID = "Redwinglift-Attempt-Id: attempt-1";
const EVENT_STREAM = "Content-Type: text/event-stream";
const HEAD = `Redwinglift-Response-Seal: 3e1b.07\r\n${ATTEMPT_ID}\r\n`;
const EVENT = "id: 1\ndata: x\n\n";
const STREAM_HEAD = formatAnswer("", { headers: [ATTEMPT_ID, EVENT_STREAM], length: "chunked" });
const formatChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Bytes of an endpoint that are no sound answer. */
const MALFORMED: Readonly<Record<string, string>> = {
    "a status below 100": `HTTP/1.1 099 Low\r\n${HEAD}Content-Length: 2\r\n\r\nok`,
    "a stream with a status below 100": `HTTP/1.1 042 Low\r\n${HEAD}${EVENT_STREAM}\r\nConnection: close\r\n\r\n${EVENT}`,
    "a status above 999": `HTTP/1.1 9999 High\r\n${HEAD}Content-Length: 2\r\n\r\nok`,
    "a status that is no number": `HTTP/1.1 abc\r\n${HEAD}Content-Length: 2\r\n\r\nok`,
    "a switch of protocols": `HTTP/1.1 101 Switching Protocols\r\n${HEAD}Upgrade: x\r\nConnection: upgrade\r\n\r\n`,
    "an unknown version": `HTTP/9.9 200 OK\r\n${HEAD}Content-Length: 2\r\n\r\nok`,
    "a header with control characters": `HTTP/1.1 200 OK\r\n${HEAD}X-A: a\u0001b\r\nContent-Length: 2\r\n\r\nok`,
    "a header without a name": `HTTP/1.1 200 OK\r\n${HEAD}: a\r\nContent-Length: 2\r\n\r\nok`,
    "a folded header": `HTTP/1.1 200 OK\r\n${HEAD}X-A: a\r\n b\r\nContent-Length: 2\r\n\r\nok`,
    "a bare line feed in a header": `HTTP/1.1 200 OK\r\n${HEAD}X-A: a\nX-B: b\r\nContent-Length: 2\r\n\r\nok`,
    "a negative length": `HTTP/1.1 200 OK\r\n${HEAD}Content-Length: -2\r\n\r\nok`,
    "a huge length": `HTTP/1.1 200 OK\r\n${HEAD}Content-Length: 99999999999999999999999\r\n\r\nok`,
    "two lengths": `HTTP/1.1 200 OK\r\n${HEAD}Content-Length: 2\r\nContent-Length: 3\r\n\r\nok`,
    "a length and chunks": `HTTP/1.1 200 OK\r\n${HEAD}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
    "a chunk size that is no number": `${STREAM_HEAD}zz\r\n${EVENT}\r\n0\r\n\r\n`,
    "a huge chunk size": `${STREAM_HEAD}ffffffffffffffffff\r\n${EVENT}\r\n0\r\n\r\n`,
    "a negative chunk size": `${STREAM_HEAD}-5\r\n${EVENT}\r\n0\r\n\r\n`,
};

/** Sound answers with strange parts; none of them may harm this or the next request. */
const STRANGE: Readonly<Record<string, string>> = {
    "trailers that are announced": formatAnswer("2\r\nok\r\n0\r\nX-T: 1\r\n\r\n", {
        headers: [ATTEMPT_ID, "Trailer: X-T"],
        length: "chunked",
    }),
    "a stream with trailers": `${formatAnswer("", { headers: [ATTEMPT_ID, EVENT_STREAM, "Trailer: X-T"], length: "chunked" })}${formatChunk(EVENT)}0\r\nX-T: 1\r\n\r\n`,
    "a header with bytes above 127": formatAnswer("ok", { headers: [ATTEMPT_ID, "X-A: \u00e9\u00ff"] }),
    "an idle timeout of nothing": formatAnswer("ok", { headers: [ATTEMPT_ID, "Keep-Alive: timeout=0"] }),
    "a huge idle timeout": formatAnswer("ok", { headers: [ATTEMPT_ID, "Keep-Alive: timeout=999999999999"] }),
    "an idle timeout below nothing": formatAnswer("ok", { headers: [ATTEMPT_ID, "Keep-Alive: timeout=-9"] }),
    "a huge load": formatAnswer("ok", {
        headers: [ATTEMPT_ID, "Redwinglift-Instance-Load: 999999999999,999999999999,0"],
    }),
    "a load that is no number": formatAnswer("ok", {
        headers: [ATTEMPT_ID, "Redwinglift-Instance-Load: -1,NaN,1e999"],
    }),
    "a header that names the object's own": formatAnswer("ok", {
        headers: [ATTEMPT_ID, "__proto__: x", "constructor: y"],
    }),
    "events with strange ids": `${STREAM_HEAD}${formatChunk(`id: 1e999\ndata: x\n\nid: \u0000\ndata: y\n\nid: ${"9".repeat(5_000)}\ndata: z\n\nid\n\n`)}0\r\n\r\n`,
    "an answer without content and a length": `HTTP/1.1 204 No Content\r\n${HEAD}Content-Length: 2\r\n\r\n`,
    "a status of 999": `HTTP/1.1 999 Strange\r\n${HEAD}Content-Length: 2\r\n\r\nok`,
};

let harness: GatewayHarness;
afterEach(() => harness.dispose());

/** Sends one request that gets these bytes and then one that gets a sound answer; node:test fails on stray errors. */
async function sendBoth(bytes: string, kind: RouteKind) {
    const route = makeRoute({ kind, attemptsMax: 1, gapTargetMs: 100 });
    harness = await createGatewayHarness(route, [
        (_request, socket, earlier) =>
            void socket.write(earlier === 0 ? bytes : formatAnswer("sound", { headers: [ATTEMPT_ID] }), "latin1"),
    ]);
    const first = await harness.send();
    await new Promise(resolve => setTimeout(resolve, 30));
    return { first, second: await harness.send() };
}

// Guards against an answer of one endpoint that ends the process, or that reaches a caller although it is malformed.
describe("an endpoint that answers with", () => {
    for (const kind of [RouteKind.NonIdempotent, RouteKind.Streaming]) {
        for (const [name, bytes] of Object.entries(MALFORMED)) {
            it(`${name} harms neither its caller nor the next one (${kind})`, async () => {
                const { first, second } = await sendBoth(bytes, kind);
                assert.ok(first.status === 502 || first.status === 0 || !first.isComplete, `status ${first.status}`);
                assert.equal(second.status, 200);
            });
        }
        for (const [name, bytes] of Object.entries(STRANGE)) {
            it(`${name} is relayed (${kind})`, async () => {
                const { first, second } = await sendBoth(bytes, kind);
                assert.ok(first.isComplete && first.status >= 200 && first.status !== 502, `status ${first.status}`);
                assert.deepEqual([second.status, second.body], [200, "sound"]);
            });
        }
    }
});
