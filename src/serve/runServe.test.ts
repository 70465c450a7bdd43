import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import http from "node:http";
import net, { type AddressInfo } from "node:net";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { installSignalHandlers } from "../base/installSignalHandlers";
import { LogLevel } from "../base/log/log";
import { ExitCode } from "../cli/exitCode";
import { createEmbeddedNodes } from "../dev/createEmbeddedNodes";
import { createEmbeddedPlatform, type EmbeddedPlatform } from "../dev/createEmbeddedPlatform";
import { DEPLOYMENT_PRESETS, PresetName } from "../dev/deploymentPreset";
import { installPresetConfiguration } from "../dev/installPresetConfiguration";
import { readSettings } from "../settings/readSettings";
import { formatServeWords } from "./_testing/formatServeWords";
import { listServeFlags } from "./_testing/listServeFlags";
import { runServe } from "./runServe";

const ACCOUNT_KEY = "rwl_signals";
const PRESET = DEPLOYMENT_PRESETS[PresetName.Small];

/** A node as a process of its own. */
interface NodeProcess {
    readonly child: ChildProcess;
    readonly callerPort: number;
    readonly exitCode: Promise<number | NodeJS.Signals>;
}

let embedded: EmbeddedPlatform;

before(async () => {
    embedded = await createEmbeddedPlatform(PRESET, {
        modelRunner: { engine: { tokenGapMs: 300 } },
        platform: { vmListLagMs: 0 },
    });
    const options = { operatorKey: "rwl_operator", logLevel: LogLevel.Error, count: 1 };
    const [node] = await createEmbeddedNodes(PRESET, embedded, options);
    await node!.whenReady;
    assert.equal((await installPresetConfiguration(PRESET, node!.configuration, ACCOUNT_KEY)).isOk(), true);
    node!.dispose();
});

after(() => embedded.dispose());

// Guards against answers lost because a signal ends the process before they are complete.
describe("signals to a node", () => {
    it("keeps its requests at SIGHUP", { timeout: 60_000 }, async () => {
        const node = await startNodeProcess();
        const caller = openStream(node.callerPort);
        await caller.begun;
        node.child.kill("SIGHUP");
        await sleepMs(500);
        assert.equal(node.child.signalCode, null); // eslint-disable-line no-restricted-syntax -- Node's value
        node.child.kill("SIGTERM");
        node.child.kill("SIGHUP");
        await sleepMs(500);
        node.child.kill("SIGTERM");
        assert.match(await caller.ended, /shutting_down[\s\S]*\r\n0\r\n\r\n$/);
        assert.equal(await node.exitCode, 1);
    });

    it("ends a stream with an error event at a second SIGTERM", { timeout: 60_000 }, async () => {
        const node = await startNodeProcess();
        const caller = openStream(node.callerPort);
        await caller.begun;
        node.child.kill("SIGTERM");
        await sleepMs(300);
        const secondAtMs = performance.now();
        node.child.kill("SIGTERM");
        assert.match(await caller.ended, /shutting_down[\s\S]*\r\n0\r\n\r\n$/);
        assert.equal(await node.exitCode, 1);
        assert.ok(performance.now() - secondAtMs < 4_000);
    });

    it("keeps a stream in a drain beside SIGHUP, SIGUSR2 and SIGPIPE until SIGINT", { timeout: 60_000 }, async () => {
        const node = await startNodeProcess();
        const caller = openStream(node.callerPort);
        await caller.begun;
        (["SIGTERM", "SIGHUP", "SIGUSR2", "SIGPIPE"] as const).forEach(signal => node.child.kill(signal));
        assert.equal(await Promise.race([caller.ended, sleepMs(1_000).then(() => "open")]), "open");
        node.child.kill("SIGINT");
        assert.match(await caller.ended, /shutting_down[\s\S]*\r\n0\r\n\r\n$/);
        assert.equal(await node.exitCode, 1);
    });

    it("ends orderly at a SIGTERM that arrives while it starts", { timeout: 10_000 }, async () => {
        const settings = readSettings({ ...listServeFlags(embedded.platformUrl), drainMs: "100" }, {})._unsafeUnwrap();
        const ended = runServe(settings, installSignalHandlers());
        process.emit("SIGTERM", "SIGTERM");
        assert.equal(await ended, 0);
    });
});

describe("a node whose port another process holds", () => {
    const START_LIMIT_MS = 9_000;
    let holder: http.Server;
    let port = 0;

    beforeEach(async () => {
        holder = http.createServer((_request, response) => response.writeHead(503, { connection: "close" }).end());
        holder.listen(0, "127.0.0.1");
        await once(holder, "listening");
        ({ port } = holder.address() as AddressInfo);
    });
    afterEach(() => void holder.close());

    const runNode = (flags: Readonly<Record<string, string>>) =>
        runServe(
            readSettings({ ...listServeFlags(embedded.platformUrl), drainMs: "100", ...flags }, {})._unsafeUnwrap(),
            installSignalHandlers(),
        );
    const readCallerPort = async () => {
        const probe = net.createServer().listen(0, "127.0.0.1");
        await once(probe, "listening");
        const { port: callerPort } = probe.address() as AddressInfo;
        probe.close();
        await once(probe, "close");
        return callerPort;
    };

    // Guards against: a process that a former one's ports keep from starting ends by itself (FAULT).
    for (const flag of ["callerPort", "operatorPort", "nodePort"]) {
        it(`is ready once ${flag} is free again, and not before`, { timeout: 20_000 }, async () => {
            const callerPort = flag === "callerPort" ? port : await readCallerPort();
            const ended = runNode({ callerPort: String(callerPort), [flag]: String(port) });
            const isReady = () =>
                fetch(`http://127.0.0.1:${callerPort}/health/ready`).then(
                    ({ status }) => status === 200,
                    () => false,
                );
            await sleepMs(1_000);
            assert.equal(await isReady(), false);
            holder.close();
            while (!(await isReady())) {
                await sleepMs(20);
            }
            process.emit("SIGTERM", "SIGTERM");
            assert.equal(await ended, 0);
        });
    }

    it("ends with an exit code of its own if it is never free", { timeout: START_LIMIT_MS }, async () => {
        assert.equal(await runNode({ operatorPort: String(port) }), ExitCode.AddressUnavailable);
    });

    // Guards against: a signal waits until the addresses are free or given up.
    it("ends at a signal while it tries", { timeout: 3_000 }, async () => {
        const ended = runNode({ callerPort: String(port) });
        await sleepMs(700);
        process.emit("SIGTERM", "SIGTERM");
        assert.equal(await ended, 0);
    });
});

async function startNodeProcess(): Promise<NodeProcess> {
    const words = formatServeWords(listServeFlags(embedded.platformUrl));
    const child = spawn(process.execPath, ["--import", "tsx", "src/main.ts", ...words], {
        stdio: ["ignore", "ignore", "pipe"],
    });
    after(() => child.kill("SIGKILL"));
    let logged = "";
    child.stderr.on("data", chunk => (logged += String(chunk)));
    const exitCode = new Promise<number | NodeJS.Signals>(resolve =>
        child.once("exit", (code, signal) => resolve(code ?? signal ?? -1)),
    );
    await new Promise<void>((resolve, reject) => {
        child.stderr.on("data", () => logged.includes("node ready") && resolve());
        child.once("exit", () => reject(new Error(`The node ended before it was ready: ${logged}`)));
    });
    return { child, callerPort: Number(/"callerPort":"?(\d+)/.exec(logged)?.[1]), exitCode };
}

function openStream(port: number): { readonly begun: Promise<void>; readonly ended: Promise<string> } {
    const messages = [{ role: "user", content: "Which feeders are out?" }];
    const body = JSON.stringify({ model: "assistant", messages, max_tokens: 400, stream: true });
    const head = ["POST /v1/chat/completions HTTP/1.1", "host: node", `authorization: Bearer ${ACCOUNT_KEY}`];
    const socket = net.connect({ port, host: "127.0.0.1" });
    let received = "";
    socket.on("data", chunk => (received += chunk.toString()));
    socket.write([...head, `content-length: ${body.length}`, "", body].join("\r\n"));
    const ended = new Promise<string>(resolve => {
        socket.once("error", error => (received += `\n${error.message}`));
        socket.once("close", () => resolve(received));
    });
    return { begun: waitUntil(() => received.includes("data:")), ended };
}

async function waitUntil(condition: () => boolean): Promise<void> {
    for (let tries = 0; tries < 100 && !condition(); tries++) {
        await sleepMs(50);
    }
    assert.equal(condition(), true);
}

function sleepMs(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
