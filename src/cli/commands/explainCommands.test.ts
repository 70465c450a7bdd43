import assert from "node:assert/strict";
import http, { type IncomingHttpHeaders, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { FailureKind } from "../../base/failure";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { createGatewayHarness } from "../../gateway/_testing/createGatewayHarness";
import type { ExplainedCandidate, Explanation } from "../../gateway/explain/explanation";
import { createMetricsListener } from "../../gateway/process/createMetricsListener";
import type { CliContext } from "../cliContext";
import { ExitCode } from "../exitCode";
import { requestExplanation } from "../requestExplanation";
import { runCli } from "../runCli";

const OPERATOR_KEY = "operator-key-1";
const PARTS = { baseMs: 30, paceMs: 0, prefixMs: -2.5, loadMs: 4, distanceMs: 0, biasMs: 0, coldMs: 0, failuresMs: 0 };

function makeCandidate(endpointId: string, changes: Partial<ExplainedCandidate> = {}): ExplainedCandidate {
    return {
        endpointId,
        failureDomain: "hobart-1",
        region: "hobart",
        version: "v1",
        slots: 4,
        inProgress: 1,
        estimateMs: 31.5,
        parts: PARTS,
        isPreferred: false,
        chance: 0.5,
        ...changes,
    };
}

const EXPLANATION: Explanation = {
    node: "node-1",
    failureDomain: "hobart-1",
    configurationVersion: 7,
    confirmedAgeMs: 140,
    route: {
        name: "r-1",
        host: "news.example",
        pathPrefix: "/a/",
        kind: "idempotent",
        objectiveMs: 300,
        priority: 2,
        homeRegions: ["hobart"],
    },
    account: {
        name: "county",
        quota: {
            unit: "tokens",
            amount: 35,
            limits: { quota: 850, bound: 968, used: 812 },
            isAdmitted: true,
            isByChance: false,
        },
    },
    evacuated: ["perth-2"],
    quarantine: "free",
    refusals: [],
    services: [
        {
            service: "chat",
            chance: 1,
            rollout: { target: "v2", phase: "Trial" },
            domains: [{ chance: 1, rule: "tied", endpoints: 2 }],
            chosen: { endpointId: "i-1", chance: 0.5 },
            counts: { open: 2, evacuated: 1 },
            candidates: [
                makeCandidate("i-1"),
                makeCandidate("i-2"),
                makeCandidate("i-3\u001b[2J", { chance: 0, filter: "cold", waitMs: 1_500 }),
            ],
            omitted: 12,
        },
    ],
    omittedServices: 0,
};

interface Received {
    readonly url: string;
    readonly headers: IncomingHttpHeaders;
}

const servers: http.Server[] = [];
afterEach(() =>
    servers.splice(0).forEach(server => {
        server.closeAllConnections();
        server.close();
    }),
);

/** Starts a server; gives its address and port as one text. */
async function startListening(server: http.Server): Promise<string> {
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts a node that runs a script for each request, and keeps what it received. */
async function startNode(script: RequestListener) {
    const received: Received[] = [];
    const node = await startListening(
        http.createServer((request, response) => {
            received.push({ url: request.url ?? "", headers: request.headers });
            script(request, response);
        }),
    );
    return { node, received };
}

async function run(line: string) {
    let out = "";
    let error = "";
    const fail = () => assert.fail("the command needs nothing else from outside");
    const context: CliContext = {
        environment: { REDWINGLIFT_OPERATOR_KEY: OPERATOR_KEY },
        clock: { readMonotonicMs: fail, readWallMs: fail, waitMs: fail } as unknown as CliContext["clock"],
        programVersion: "1.2.3",
        write: text => (out += text),
        writeError: text => (error += text),
        readFile: fail,
        createRandomBytes: fail,
        runServe: fail,
        runDev: fail,
    };
    const exitCode = await runCli(line.split(" "), context);
    return { exitCode, out, error };
}

describe("redwinglift explain", () => {
    it("asks the node with all values, and shows route, account, reasons and candidates", async () => {
        const { node, received } = await startNode((_request, response) => response.end(JSON.stringify(EXPLANATION)));
        const { exitCode, out, error } = await run(
            `explain --node ${node} --path /a/b?c=1 --account county --model m --prefix sys:10,own:5 --tokens 15,20`,
        );
        assert.equal(exitCode, ExitCode.Ok, error);
        const [question] = received;
        const { pathname, searchParams } = new URL(question?.url ?? "", "http://node");
        assert.equal(pathname, "/explain");
        assert.deepEqual(Object.fromEntries(searchParams), {
            path: "/a/b?c=1",
            account: "county",
            model: "m",
            prefix: "sys:10,own:5",
            tokens: "15,20",
        });
        for (const shown of [
            /Node node-1 in hobart-1: configuration 7, confirmed 0.1 s ago/,
            /Route r-1: news.example\/a\/.*home regions: hobart/,
            /Account county: 812 used of 850 tokens a window \(bound 968\); this request counts 35: admitted/,
            /Evacuated: perth-2/,
            /Nothing refuses the request/,
            /Service chat, roll-out of v2: Trial; endpoints: open 2, evacuated 1/,
            /i-1 is most likely, with 50%/,
            /chance decides: the estimates of 2 endpoints count as equal/,
            /i-2 +hobart-1 +hobart +v1 +50% +31.5 +30 +- +-2.5 +4/,
            /cold for 1.5 s/,
            /12 more endpoints are counted only/,
        ]) {
            assert.match(out, shown);
        }
        assert.ok(!out.includes("\u001b"), "control characters of a node reach the terminal");
    });

    // Guards against: the operator's key goes to an address that needs none, or the question is forwarded by a listener
    // for callers to one of their endpoints.
    it("sends no key, and a host that no route has", async () => {
        const { node, received } = await startNode((_request, response) => response.end(JSON.stringify(EXPLANATION)));
        const { out, error } = await run(`explain --node ${node} --path /a/b`);
        assert.equal(received[0]?.headers.host, "internal.invalid");
        assert.ok(!JSON.stringify([received, out, error]).includes(OPERATOR_KEY));
        assert.equal(received[0].headers.authorization, undefined);
    });

    it("prints the node's answer with --format json, as with --json", async () => {
        const { node } = await startNode((_request, response) => response.end(JSON.stringify(EXPLANATION)));
        for (const flag of ["--format json", "--json"]) {
            const { out } = await run(`explain --node ${node} --path /a/b ${flag}`);
            assert.deepEqual(JSON.parse(out), EXPLANATION);
        }
    });

    it("says what refuses the request, and what would be chosen otherwise", async () => {
        const refusals = [
            {
                kind: "quota_exceeded",
                message: "The account's quota is used up.",
                retryAfterMs: 1_000,
                isByChance: false,
            },
            { kind: "no_endpoint", message: "None.", service: "other", isByChance: true },
        ];
        const explanation = { ...EXPLANATION, refusals };
        const { node } = await startNode((_request, response) => response.end(JSON.stringify(explanation)));
        const { out } = await run(`explain --node ${node} --path /a/b`);
        assert.match(out, /^Refused: quota_exceeded: The account's quota is used up. Retry after 1 s.$/m);
        assert.match(out, /^Perhaps refused by service other: no_endpoint: None.$/m);
        assert.match(out, /If it were not refused: i-1/);
    });

    for (const line of [
        "explain --path /a",
        "explain --node 127.0.0.1 --path /a",
        "explain --node 127.0.0.1:99999 --path /a",
        "explain --node http://127.0.0.1:1 --path /a",
        "explain --node NODE",
        "explain --node NODE --path a",
        "explain --node NODE --path /a --tokens many",
        "explain --node NODE --path /a --prefix sys",
        "explain --node NODE --path /a --format xml",
        "explain --node NODE --path /a --key secret",
    ]) {
        it(`ends with exit code 2 and asks nobody: ${line}`, async () => {
            const { node, received } = await startNode((_request, response) => response.end());
            const { exitCode, error, out } = await run(line.replace("NODE", node));
            assert.equal(exitCode, ExitCode.Usage, error);
            assert.match(error, /^invalid_settings: /);
            assert.deepEqual([received, out], [[], ""]);
        });
    }

    it("passes a node's failure on", async () => {
        const { node } = await startNode((_request, response) =>
            response.writeHead(404).end('{"error":{"type":"not_found","message":"No account.","execution":"not_run"}}'),
        );
        const { exitCode, error } = await run(`explain --node ${node} --path /a`);
        assert.deepEqual([exitCode, error], [ExitCode.Refused, "not_found: No account.\n"]);
    });

    const UNUSABLE: Readonly<Record<string, RequestListener>> = {
        "metrics of an older version": (_request, response) => response.end("# HELP redwinglift_requests_total\n"),
        "JSON of another kind": (_request, response) => response.end('{"node":1}'),
        "a failure without JSON": (_request, response) => response.writeHead(500).end("oops"),
        "a failure with an odd error": (_request, response) => response.writeHead(500).end('{"error":null}'),
        "a connection that breaks": request => request.socket.destroy(),
    };
    for (const [name, script] of Object.entries(UNUSABLE)) {
        it(`ends with a typed failure after ${name}`, async () => {
            const { node } = await startNode(script);
            const { exitCode, error, out } = await run(`explain --node ${node} --path /a`);
            const isOdd = name.includes("odd");
            assert.equal(exitCode, isOdd ? ExitCode.Internal : ExitCode.Unreachable);
            assert.match(error, isOdd ? /^internal: HTTP 500/ : /^endpoint_failed: 127.0.0.1/);
            assert.equal(out, "");
        });
    }

    it("ends with a typed failure if nobody listens, and if the node is silent", async () => {
        const { node } = await startNode(() => undefined);
        const [address = "", port] = node.split(":");
        const silent = await requestExplanation({ address, port: Number(port) }, "path=/a", { firstByteMs: 100 });
        assert.equal(silent.isErr() && silent.error.kind, FailureKind.EndpointSilent);
        servers.splice(0).forEach(server => {
            server.closeAllConnections();
            server.close();
        });
        const { exitCode, error } = await run(`explain --node ${node} --path /a`);
        assert.equal(exitCode, ExitCode.Unreachable);
        assert.match(error, /^endpoint_failed: /);
    });

    // Guards against: the node's answer doesn't fit what the command expects, or shows the keys of an account.
    it("understands a node of this version", async () => {
        const harness = await createGatewayHarness(makeRoute(), [() => undefined, () => undefined]);
        const { explainRequest } = harness;
        const formatMetrics = () => Promise.resolve("");
        const quarantine = { releasePart: () => undefined, hasEvidence: () => false };
        const reportFailure = () => undefined;
        const node = await startListening(
            createMetricsListener({ formatMetrics, quarantine, explainRequest, reportFailure }),
        );
        const shown = await run(`explain --node ${node} --path /a/b --account county --tried i-1`);
        const json = await run(`explain --node ${node} --path /a/b --account county --format json`);
        const unknown = await run(`explain --node ${node} --path /a/b --account nobody`);
        harness.dispose();
        assert.match(shown.out, /i-0 would be chosen; the only endpoint that takes it/);
        assert.match(shown.out, /i-1 .*tried/);
        assert.equal((JSON.parse(json.out) as Explanation).services[0]?.domains[0]?.rule, "tied");
        assert.equal(unknown.exitCode, ExitCode.Refused);
        assert.doesNotMatch([shown, json, unknown].map(({ out, error }) => out + error).join(), /key-1/);
    });
});
