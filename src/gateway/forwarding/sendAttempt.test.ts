import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AttemptOutcome } from "../../decisions/gateway/decideNextAction";
import { makeEndpointRecord, runAttempt } from "../_testing/runAttempt";
import { type EndpointScript, formatAnswer, startScriptedEndpoint } from "../_testing/startScriptedEndpoint";
import { type AttemptOptions, ConnectionEnd } from "./sendAttempt";

const ATTEMPT_ID = "Redwinglift-Attempt-Id: attempt-1";
const EVENT_STREAM = "Content-Type: text/event-stream";

async function runScript(script: EndpointScript, options: Partial<AttemptOptions> = {}) {
    const endpoint = await startScriptedEndpoint(script);
    const observed = await runAttempt(makeEndpointRecord(endpoint), options);
    endpoint.dispose();
    return observed;
}

describe("an attempt at an endpoint", () => {
    it("gives a whole answer", async () => {
        const { result } = await runScript((_request, socket) =>
            socket.write(formatAnswer("hello", { headers: [ATTEMPT_ID] })),
        );
        assert.equal(result.end, AttemptOutcome.Answered);
        assert.equal(result.answer?.body.toString(), "hello");
    });

    it("gives a whole answer that has no length and ends with its connection", async () => {
        const { result } = await runScript((_request, socket) =>
            socket.end(formatAnswer("hello", { headers: [ATTEMPT_ID], length: "none" })),
        );
        assert.equal(result.end, AttemptOutcome.Answered);
    });

    it("is lost if an answer without a length ends by a reset, even together with its last bytes", async () => {
        for (let round = 0; round < 5; round++) {
            const { result } = await runScript((_request, socket) => {
                socket.write(formatAnswer("hel", { headers: [ATTEMPT_ID], length: "none" }), () =>
                    socket.resetAndDestroy(),
                );
            });
            assert.equal(result.end, AttemptOutcome.Lost);
        }
    });

    // Guards against taking a silent endpoint for a crashed one.
    it("tells a connection that broke or was refused from one that was given up", async () => {
        const broken = await runScript((_request, socket) => socket.resetAndDestroy());
        const silent = await runScript(() => undefined, { answerTimeoutMs: 30 });
        const endpoint = await startScriptedEndpoint(() => undefined);
        endpoint.dispose();
        const refused = await runAttempt(makeEndpointRecord(endpoint));
        assert.deepEqual(
            [broken, silent, refused].map(({ result }) => result.connection),
            [ConnectionEnd.Broken, undefined, ConnectionEnd.Refused],
        );
    });

    it("is lost if the answer is shorter than its length", async () => {
        const { result } = await runScript((_request, socket) =>
            socket.end(formatAnswer("hel", { headers: [ATTEMPT_ID], length: 5 })),
        );
        assert.equal(result.end, AttemptOutcome.Lost);
    });

    it("is lost if the answer belongs to another request", async () => {
        const { result } = await runScript((_request, socket) =>
            socket.write(formatAnswer("hello", { headers: ["Redwinglift-Attempt-Id: attempt-0"] })),
        );
        assert.equal(result.end, AttemptOutcome.Lost);
    });

    it("is lost if a successful answer has no seal or a content encoding", async () => {
        const unsealed = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        assert.equal((await runScript((_request, socket) => socket.write(unsealed))).result.end, AttemptOutcome.Lost);
        const encoded = formatAnswer("hello", { headers: [ATTEMPT_ID, "Content-Encoding: gzip"] });
        assert.equal((await runScript((_request, socket) => socket.write(encoded))).result.end, AttemptOutcome.Lost);
    });

    it("is lost if an endpoint says 503 without stating that it did not execute the request", async () => {
        const answer = formatAnswer("busy", { status: "503 Service Unavailable", headers: [ATTEMPT_ID] });
        assert.equal((await runScript((_request, socket) => socket.write(answer))).result.end, AttemptOutcome.Lost);
    });

    it("counts as not executed if the endpoint states so", async () => {
        const refused = formatAnswer("", {
            status: "503 Service Unavailable",
            headers: ["Redwinglift-Not-Executed: 1"],
        });
        assert.equal(
            (await runScript((_request, socket) => socket.write(refused))).result.end,
            AttemptOutcome.NotExecuted,
        );
        const misdirected = formatAnswer("", { status: "421 Misdirected Request" });
        assert.equal(
            (await runScript((_request, socket) => socket.write(misdirected))).result.end,
            AttemptOutcome.NotExecuted,
        );
    });

    it("counts as not sent if nothing listens at the address", async () => {
        const endpoint = await startScriptedEndpoint(() => undefined);
        endpoint.dispose();
        const { result } = await runAttempt(makeEndpointRecord(endpoint));
        assert.equal(result.end, AttemptOutcome.NotSent);
    });

    it("is lost if the endpoint resets the connection after the request", async () => {
        const { result } = await runScript((_request, socket) => socket.resetAndDestroy());
        assert.equal(result.end, AttemptOutcome.Lost);
    });

    it("is lost if no answer arrives within the answer timeout", async () => {
        const { result } = await runScript(() => undefined, { answerTimeoutMs: 30 });
        assert.equal(result.end, AttemptOutcome.Lost);
    });

    it("ends as timed out when it is aborted for that reason", async () => {
        const ended = new AbortController();
        const { result } = await runScript(() => ended.abort(AttemptOutcome.TimedOut), { ended: ended.signal });
        assert.equal(result.end, AttemptOutcome.TimedOut);
    });
});

describe("a stream of an endpoint", () => {
    const head = formatAnswer("", { headers: [ATTEMPT_ID, EVENT_STREAM], length: "chunked" });
    const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
    const event = (id: number) => `id: ${id}\ndata: x\n\n`;

    it("is relayed to its end", async () => {
        const { result, received, isComplete } = await runScript((_request, socket) => {
            socket.write(head + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n");
        });
        assert.equal(result.end, AttemptOutcome.Relayed);
        assert.equal(received, event(1) + event(2));
        assert.ok(isComplete);
    });

    it("does not look complete if it is cut off, and no partial event of it is relayed", async () => {
        const { result, received, isComplete } = await runScript((_request, socket) => {
            socket.write(head + chunk(event(1)) + chunk("id: 2\nda"), () => setTimeout(() => socket.destroy(), 30));
        });
        assert.equal(result.end, AttemptOutcome.Broken);
        assert.equal(received, event(1));
        assert.ok(!isComplete);
    });

    it("is lost if it is cut off before its first event", async () => {
        const { result } = await runScript((_request, socket) => {
            socket.write(head, () => setTimeout(() => socket.destroy(), 30));
        });
        assert.equal(result.end, AttemptOutcome.Lost);
    });

    it("is broken if a pause is longer than the event timeout", async () => {
        const { result } = await runScript((_request, socket) => socket.write(head + chunk(event(1))), {
            eventTimeoutMs: 30,
        });
        assert.equal(result.end, AttemptOutcome.Broken);
    });
});

describe("connections to an endpoint", () => {
    it("carry a stream to its end after the endpoint was removed from the directory, and close after it", async () => {
        const head = formatAnswer("", { headers: [ATTEMPT_ID, EVENT_STREAM], length: "chunked" });
        const endpoint = await startScriptedEndpoint((_request, socket) => {
            socket.write(`${head}a\r\nid: 1\ndat\n\r\n1\r\n\n\r\n`);
            setTimeout(() => {
                record.connections.dispose();
                socket.write("0\r\n\r\n");
            }, 30);
        });
        const record = makeEndpointRecord(endpoint);
        const { result } = await runAttempt(record);
        assert.equal(result.end, AttemptOutcome.Relayed);
        assert.deepEqual(Object.keys(record.connections.prepareAgent().freeSockets), []);
        endpoint.dispose();
    });

    it("are closed if data arrives while they are idle", async () => {
        const endpoint = await startScriptedEndpoint((_request, socket) => {
            const answer = formatAnswer("hello", { headers: [ATTEMPT_ID] });
            socket.write(answer);
            setTimeout(() => socket.write(answer), 30);
        });
        const record = makeEndpointRecord(endpoint);
        const keptRecord = { ...record, connections: { ...record.connections, dispose: () => undefined } };
        await runAttempt(keptRecord);
        await new Promise(resolve => setTimeout(resolve, 100));
        const { result } = await runAttempt(keptRecord);
        assert.equal(result.end, AttemptOutcome.Answered);
        assert.equal(endpoint.countConnections(), 2);
        record.connections.dispose();
        endpoint.dispose();
    });

    it("are reused for many requests, and keep no listeners of earlier ones", async () => {
        const listeners: number[] = [];
        const endpoint = await startScriptedEndpoint((_request, socket) => {
            socket.write(formatAnswer("hello", { headers: [ATTEMPT_ID] }));
        });
        const record = makeEndpointRecord(endpoint);
        const keptRecord = { ...record, connections: { ...record.connections, dispose: () => undefined } };
        for (let round = 0; round < 4; round++) {
            await runAttempt(keptRecord);
            const [idle] = Object.values(record.connections.prepareAgent().freeSockets).flatMap(
                sockets => sockets ?? [],
            );
            listeners.push(idle?.listenerCount("error") ?? 0);
        }
        assert.equal(endpoint.countConnections(), 1);
        assert.equal(listeners.at(-1), listeners[0]);
        record.connections.dispose();
        endpoint.dispose();
    });
});
