import assert from "node:assert/strict";
import { once } from "node:events";
import http from "node:http";
import net from "node:net";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import fc from "fast-check";
import { FailureKind } from "../base/failure";
import { Metric } from "../base/metrics/metric";
import type { Metrics } from "../base/metrics/metrics";
import { createOperatorFakes, OPERATOR_KEY, type OperatorFakes } from "./_testing/createOperatorFakes";
import { createOperatorListener, type OperatorListener } from "./createOperatorListener";

interface Answer {
    readonly status: number;
    readonly body: Record<string, unknown> & { readonly error?: Record<string, unknown> };
}

const CLASS = {
    latencyTargetMs: 1_200,
    tokenGapTargetMs: 28,
    deadlineMs: 60_000,
    costCeilingMicros: 9,
    isIdempotent: true,
};

let fakes: OperatorFakes;
let listener: OperatorListener;
const agent = new http.Agent({ keepAlive: true });

async function sendRequest(
    method: string,
    path: string,
    body?: unknown,
    headers: Record<string, string> = { authorization: `Bearer ${OPERATOR_KEY}` },
): Promise<Answer> {
    const request = http.request({ host: "127.0.0.1", port: listener.port, method, path, headers, agent });
    request.end(body instanceof Buffer || body === undefined ? body : JSON.stringify(body));
    const [response] = (await once(request, "response")) as [http.IncomingMessage];
    const chunks: Buffer[] = [];
    for await (const chunk of response) {
        chunks.push(chunk as Buffer);
    }
    return { status: response.statusCode ?? 0, body: JSON.parse(Buffer.concat(chunks).toString()) as Answer["body"] };
}

async function startListener(limits = {}): Promise<void> {
    fakes = createOperatorFakes();
    listener = await createOperatorListener(fakes.dependencies, { ...fakes.options, limits });
}

describe("the operators' listener", () => {
    beforeEach(() => startListener({ bodyBytes: 2_000, connections: 20 }));
    afterEach(() => listener.dispose());
    after(() => agent.destroy());

    // Guards against: each request that is sent ahead on a connection is an open request, whose responses nobody reads.
    it("stops reading a connection with many requests sent ahead", async () => {
        const outcomes: unknown[] = [];
        const count: Metrics["count"] = (metric, tags) => {
            if (metric === Metric.ListenerLimits) {
                outcomes.push(tags?.["outcome"]);
            }
        };
        const metrics = { ...fakes.options.metrics, count };
        listener.dispose();
        listener = await createOperatorListener(fakes.dependencies, { ...fakes.options, metrics });
        const socket = net.connect(listener.port, "127.0.0.1");
        socket.on("error", () => undefined);
        const authorization = `authorization: Bearer ${OPERATOR_KEY}`;
        socket.write(`GET /operator/v1/nowhere HTTP/1.1\r\nhost: a\r\n${authorization}\r\n\r\n`.repeat(2_000));
        for (let tries = 0; tries < 500 && outcomes.length === 0; tries++) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        socket.destroy();
        assert.equal(outcomes[0], "held");
    });

    it("refuses a missing, wrong or malformed key before it looks at the path", async () => {
        for (const authorization of ["", "Bearer wrong", `Basic ${OPERATOR_KEY}`, `Bearer ${OPERATOR_KEY}x`]) {
            const answer = await sendRequest("GET", "/nowhere", undefined, { authorization });
            assert.equal(answer.status, 401);
            assert.equal(answer.body.error?.["type"], FailureKind.Unauthenticated);
        }
    });

    const paths: readonly (readonly [string, string, number, FailureKind])[] = [
        ["GET", "/operator/v1/nowhere", 404, FailureKind.NotFound],
        ["GET", "/operator/v1/classes/", 404, FailureKind.NotFound],
        ["POST", "/operator/v1/status", 405, FailureKind.MethodNotAllowed],
        ["GET", "/operator/v1/classes/none", 404, FailureKind.NotFound],
        ["GET", "/operator/v1/classes/constructor", 404, FailureKind.NotFound],
        ["GET", "/operator/v1/classes/%ff", 400, FailureKind.InvalidText],
        ["GET", "//", 400, FailureKind.InvalidRequest],
        ["GET", "/operator/v1/jobs", 400, FailureKind.InvalidRequest],
        ["GET", "/operator/v1/jobs?account=a&limit=x", 400, FailureKind.InvalidRequest],
        ["GET", "/operator/v1/jobs/depot/none", 404, FailureKind.NotFound],
        ["DELETE", "/operator/v1/classes/digest", 400, FailureKind.InvalidRequest],
        ["DELETE", "/operator/v1/classes/digest?basedOnRevision=-1", 400, FailureKind.InvalidRequest],
    ];
    for (const [method, path, status, kind] of paths) {
        it(`answers ${method} ${path} with ${kind}`, async () => {
            const answer = await sendRequest(method, path);
            assert.equal(answer.status, status);
            assert.equal(answer.body.error?.["type"], kind);
            assert.equal(answer.body.error?.["execution"], "not_run");
        });
    }

    it("sets, reads, lists and removes an item", async () => {
        const set = await sendRequest("PUT", "/operator/v1/classes/digest", { basedOnRevision: 0, value: CLASS });
        assert.equal(set.body["revision"], 1);
        const read = await sendRequest("GET", "/operator/v1/classes/digest");
        assert.deepEqual(read.body, { revision: 1, item: { name: "digest", ...CLASS } });
        const list = await sendRequest("GET", "/operator/v1/classes");
        assert.equal((list.body["items"] as unknown[]).length, 1);
        const removed = await sendRequest("DELETE", "/operator/v1/classes/digest?basedOnRevision=1");
        assert.equal(removed.body["revision"], 2);
    });

    it("reaches endpoint traits whose names hold a slash", async () => {
        await sendRequest("PUT", "/operator/v1/services/assistant", {
            basedOnRevision: 0,
            value: { kind: "model", version: "v1" },
        });
        const path = `/operator/v1/endpoint-traits/${encodeURIComponent("assistant/*")}`;
        const set = await sendRequest("PUT", path, { basedOnRevision: 1, value: { checksFencing: true } });
        assert.equal(set.status, 200);
        assert.deepEqual((await sendRequest("GET", path)).body["item"], { name: "assistant/*", checksFencing: true });
    });

    it("lets one of two racing changes win and shows the other what is there", async () => {
        const setTarget = (latencyTargetMs: number) =>
            sendRequest("PUT", "/operator/v1/classes/digest", {
                basedOnRevision: 0,
                value: { ...CLASS, latencyTargetMs },
            });
        const answers = await Promise.all([setTarget(100), setTarget(200)]);
        const winner = answers.find(answer => answer.status === 200);
        const loser = answers.find(answer => answer.status === 409);
        assert.equal(winner?.body["revision"], 1);
        assert.equal(loser?.body.error?.["type"], FailureKind.RevisionConflict);
        const details = loser?.body.error?.["details"] as { revision: number; items: { value: unknown }[] };
        assert.equal(details.revision, 1);
        assert.deepEqual(details.items[0]?.value, fakes.configuration.readCurrent().classes["digest"]);
    });

    it("applies a change of several items as a whole or not at all", async () => {
        const digest = { kind: "class", name: "digest", value: CLASS };
        const depot = { kind: "account", name: "depot", value: { keyHashes: [], defaultClass: "missing" } };
        const refused = await sendRequest("POST", "/operator/v1/changes", {
            basedOnRevision: 0,
            items: [digest, depot],
        });
        assert.equal(refused.status, 422);
        assert.equal(fakes.configuration.readCurrent().revision, 0);
        const items = [digest, { ...depot, value: { keyHashes: [], defaultClass: "digest" } }];
        const applied = await sendRequest("POST", "/operator/v1/changes", { basedOnRevision: 0, items });
        assert.equal(applied.status, 200);
        assert.deepEqual(Object.keys(fakes.configuration.readCurrent().accounts), ["depot"]);
    });

    const bodies: readonly (readonly [string, unknown, number, FailureKind])[] = [
        ["malformed JSON", Buffer.from("{"), 400, FailureKind.MalformedBody],
        ["no body", undefined, 400, FailureKind.MalformedBody],
        ["bad UTF-8", Buffer.from([0x22, 0xff, 0x22]), 400, FailureKind.InvalidText],
        ["too many bytes", Buffer.alloc(2_001, " "), 413, FailureKind.BodyTooLarge],
        ["no revision", { value: CLASS }, 400, FailureKind.InvalidRequest],
        ["a fractional revision", { basedOnRevision: 0.5, value: CLASS }, 400, FailureKind.InvalidRequest],
        ["an unknown field", { basedOnRevision: 0, value: CLASS, force: true }, 400, FailureKind.InvalidRequest],
        ["no value", { basedOnRevision: 0 }, 400, FailureKind.InvalidRequest],
        ["an empty value", { basedOnRevision: 0, value: {} }, 422, FailureKind.InvalidConfiguration],
        [
            "another name inside",
            { basedOnRevision: 0, value: { ...CLASS, name: "x" } },
            422,
            FailureKind.InvalidConfiguration,
        ],
    ];
    for (const [what, body, status, kind] of bodies) {
        it(`answers a body with ${what} with ${kind}`, async () => {
            const answer = await sendRequest("PUT", "/operator/v1/classes/digest", body);
            assert.equal(answer.status, status);
            assert.equal(answer.body.error?.["type"], kind);
            assert.equal(fakes.configuration.readCurrent().revision, 0);
        });
    }

    it("dumps every task, without keys and bodies, also when one can't be dumped", async () => {
        const { body } = await sendRequest("GET", "/operator/v1/dump");
        assert.deepEqual(body["tasks"], {
            routing: { open: 3, apiKey: "[hidden]", body: "[hidden]" },
            broken: { dumpFailed: "no state yet" },
        });
        const one = await sendRequest("GET", "/operator/v1/dump?task=routing");
        assert.deepEqual(Object.keys(one.body["tasks"] as object), ["routing"]);
    });

    it("shows status, nodes, VMs, fleet and invariants", async () => {
        const status = await sendRequest("GET", "/operator/v1/status");
        assert.equal(status.body["nodeId"], "node-1");
        assert.equal(status.body["leavingVms"], 1);
        for (const path of ["nodes", "vms", "fleet", "invariants"]) {
            const answer = await sendRequest("GET", `/operator/v1/${path}`);
            assert.ok((answer.body["items"] as unknown[]).length > 0, path);
        }
    });

    it("tells whether a revision is in force, and where not", async () => {
        const known = await sendRequest("GET", "/operator/v1/configuration/in-force?revision=0&timeoutMs=10");
        assert.equal(known.body["isInForce"], true);
        const unknown = await sendRequest("GET", "/operator/v1/configuration/in-force?revision=9");
        assert.deepEqual(unknown.body["lacking"], [{ nodeId: "node-1", revision: 0, isSuspect: false }]);
        const refused = await sendRequest("GET", "/operator/v1/configuration/in-force?revision=9&timeoutMs=999999");
        assert.equal(refused.status, 400);
    });

    it("reads, lists and cancels jobs", async () => {
        const list = await sendRequest("GET", "/operator/v1/jobs?account=depot");
        assert.equal((list.body["items"] as unknown[]).length, 1);
        const cancelled = await sendRequest("DELETE", "/operator/v1/jobs/depot/job-1");
        assert.equal(cancelled.body["state"], "cancelled");
    });

    it("logs who did what, without keys", async () => {
        await sendRequest("PUT", "/operator/v1/classes/digest", { basedOnRevision: 0, value: CLASS });
        await sendRequest("GET", "/operator/v1/status", undefined, { authorization: "Bearer rwl_wrong-key" });
        const lines = fakes.logLines.map(line => JSON.parse(line) as Record<string, unknown>);
        assert.equal(lines[0]?.["operation"], "set_class");
        assert.equal(lines[0]?.["names"], "digest");
        assert.match(String(lines[0]?.["operator"]), /^[0-9a-f]{12}$/);
        assert.equal(lines[1]?.["outcome"], "unauthenticated");
        assert.doesNotMatch(fakes.logLines.join(), /rwl_/);
    });
});

describe("the operators' listener under load of any kind", () => {
    before(() => startListener({ bodyBytes: 10_000 }));
    after(() => {
        listener.dispose();
        agent.destroy();
    });

    it("answers any body with JSON and never with a server error", async () => {
        const paths = fc.constantFrom("/operator/v1/changes", "/operator/v1/classes/a", "/operator/v1/version-moves/b");
        const bodies = fc.oneof(
            fc.uint8Array({ maxLength: 200 }).map(bytes => Buffer.from(bytes)),
            fc.json().map(text => Buffer.from(text)),
            fc
                .record(
                    { basedOnRevision: fc.anything(), value: fc.jsonValue(), items: fc.jsonValue() },
                    { requiredKeys: [] },
                )
                .map(value =>
                    Buffer.from(
                        JSON.stringify(value, (_key, part: unknown) =>
                            typeof part === "bigint" ? String(part) : part,
                        ),
                    ),
                ),
        );
        await fc.assert(
            fc.asyncProperty(paths, bodies, async (path, body) => {
                const answer = await sendRequest(path.endsWith("changes") ? "POST" : "PUT", path, body);
                assert.ok(answer.status < 500, String(answer.status));
                assert.equal(
                    typeof (answer.status === 200 ? answer.body["revision"] : answer.body.error?.["type"]) !==
                        "undefined",
                    true,
                );
            }),
            { seed: 21, numRuns: 300 },
        );
    });

    it("answers any path with JSON", async () => {
        await fc.assert(
            fc.asyncProperty(fc.stringMatching(/^[!-~]{0,40}$/), async path => {
                const answer = await sendRequest("GET", `/${path}`);
                assert.ok([200, 400, 404, 405].includes(answer.status), `${path}: ${answer.status}`);
            }),
            { seed: 22, numRuns: 200 },
        );
    });
});

describe("connections of operators", () => {
    it("are refused beyond the limit and cut when headers don't arrive", async () => {
        await startListener({ connections: 1, headerMs: 100 });
        const first = net.connect(listener.port, "127.0.0.1");
        await once(first, "connect");
        const second = net.connect(listener.port, "127.0.0.1");
        const [refusal] = (await once(second, "data")) as [Buffer];
        assert.match(refusal.toString(), /^HTTP\/1\.1 503 .*too_many_connections/s);
        first.write("GET /operator/v1/status HTTP/1.1\r\n");
        const [late] = (await once(first, "data")) as [Buffer];
        assert.match(late.toString(), /^HTTP\/1\.1 408 .*caller_too_slow/s);
        first.destroy();
        second.destroy();
        listener.dispose();
    });
});
