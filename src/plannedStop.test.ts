import assert from "node:assert/strict";
import net from "node:net";
import { after, before, describe, it } from "node:test";
import { LogLevel } from "./base/log/log";
import { createEmbeddedNodes } from "./dev/createEmbeddedNodes";
import { createEmbeddedPlatform, type EmbeddedPlatform } from "./dev/createEmbeddedPlatform";
import { DEPLOYMENT_PRESETS, PresetName } from "./dev/deploymentPreset";
import { installPresetConfiguration } from "./dev/installPresetConfiguration";
import type { RunningNode } from "./wire";

const ACCOUNT_KEY = "rwl_planned_stop";
const OPERATOR_KEY = "rwl_operator";
const PRESET = DEPLOYMENT_PRESETS[PresetName.Small];
const DRAIN_MS = 5_000;

/** A connection that is kept open until the node ends it. */
interface Caller {
    readonly socket: net.Socket;
    readonly ended: Promise<string>;
}

let embedded: EmbeddedPlatform;
let node: RunningNode;

// Guards against answers lost at a planned stop: everything taken ends in a complete answer before the node is gone.
describe("a planned stop", () => {
    let callers: Record<"stream" | "whole" | "body" | "operator", Caller>;
    let cutRequests = 0;
    const readAnswer = (name: keyof typeof callers) => callers[name].ended;

    before(async () => {
        embedded = await createEmbeddedPlatform(PRESET, {
            modelRunner: { engine: { tokenGapMs: 500 } },
            platform: { vmListLagMs: 0 },
        });
        const options = { operatorKey: OPERATOR_KEY, logLevel: LogLevel.Error, count: 1 };
        [node] = (await createEmbeddedNodes(PRESET, embedded, options)) as [RunningNode];
        await node.whenReady;
        assert.equal((await installPresetConfiguration(PRESET, node.configuration, ACCOUNT_KEY)).isOk(), true);
        callers = {
            stream: openCaller(node.callerPort, formatChat({ stream: true })),
            whole: openCaller(node.callerPort, formatChat({})),
            body: openCaller(node.callerPort, formatChat({}).slice(0, -10)),
            operator: openCaller(node.operatorPort, formatOperatorRequest().slice(0, -1)),
        };
        await new Promise(resolve => setTimeout(resolve, 1_500));
        cutRequests = await node.drain(DRAIN_MS);
        node.dispose();
    });

    after(() => embedded.dispose());

    it("ends a stream that outlasts the drain time with an error event", async () => {
        const text = await readAnswer("stream");
        assert.match(text, /shutting_down/);
        assert.match(text, /\r\n0\r\n\r\n$/);
    });

    it("ends a whole answer that outlasts the drain time with a complete failure", async () => {
        const failure = parseFailure(await readAnswer("whole"));
        assert.equal(failure.type, "shutting_down");
        assert.equal(failure.execution, "ran");
    });

    it("refuses a request whose body does not arrive in the drain time as not run", async () => {
        const failure = parseFailure(await readAnswer("body"));
        assert.equal(failure.type, "shutting_down");
        assert.equal(failure.execution, "not_run");
    });

    it("refuses an operator's request whose body does not arrive in the drain time", async () => {
        assert.equal(parseFailure(await readAnswer("operator")).type, "shutting_down");
    });

    it("counts the answers that the drain time cut", () => {
        assert.equal(cutRequests, 2);
    });
});

function openCaller(port: number, text: string): Caller {
    const socket = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    let received = "";
    socket.on("data", chunk => (received += chunk.toString()));
    socket.write(text);
    return {
        socket,
        ended: new Promise(resolve => {
            socket.once("end", () => resolve(received));
            socket.once("error", error => resolve(`${received}\n${error.message}`));
        }),
    };
}

function formatChat(options: object): string {
    const messages = [{ role: "user", content: "Which feeders are out?" }];
    const body = JSON.stringify({ model: "assistant", messages, max_tokens: 400, ...options });
    return formatRequest("POST /v1/chat/completions", ACCOUNT_KEY, body);
}

function formatOperatorRequest(): string {
    return formatRequest("POST /operator/v1/changes", OPERATOR_KEY, "{}");
}

function formatRequest(target: string, key: string, body: string): string {
    const head = [`${target} HTTP/1.1`, "host: node", `authorization: Bearer ${key}`];
    return [...head, `content-length: ${Buffer.byteLength(body)}`, "", body].join("\r\n");
}

function parseFailure(answer: string): { readonly type: string; readonly execution: string } {
    const body = /^HTTP\/1\.1 503 [\s\S]*?\r\n\r\n([\s\S]*)$/.exec(answer)?.[1] ?? "";
    assert.match(body, /\}$/, `no complete failure: ${JSON.stringify(answer.slice(-300))}`);
    return (JSON.parse(body) as { error: { type: string; execution: string } }).error;
}
