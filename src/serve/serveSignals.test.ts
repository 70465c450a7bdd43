import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import fs from "node:fs";
import os from "node:os";
import path from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { after, before, describe, it } from "node:test";
import { buildSync } from "esbuild";
import { createEmbeddedPlatform, type EmbeddedPlatform } from "../dev/createEmbeddedPlatform";
import { DEPLOYMENT_PRESETS, PresetName } from "../dev/deploymentPreset";
import { formatServeWords } from "./_testing/formatServeWords";
import { listServeFlags } from "./_testing/listServeFlags";

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;
const OTHER_SIGNALS = ["SIGHUP", "SIGUSR2", "SIGPIPE"] as const;
const OPTIONS = { timeout: 30_000 };

/** When the process sends signals to itself, as code of a script that is loaded before the program. */
enum Moment {
    /** The first statements have run, and the command hasn't begun. */
    FirstStatements = "process.nextTick(send);",
    /** Nothing listens. */
    FirstListen = `
        const net = require("node:net");
        const listen = net.Server.prototype.listen;
        net.Server.prototype.listen = function (...rest) {
            send();
            return listen.apply(this, rest);
        };`,
}

/** A process of the program. */
interface Program {
    readonly child: ChildProcess;
    readonly whenEnded: Promise<number | NodeJS.Signals>;
    readonly readLog: () => string;
}

let folder = "";
let embedded: EmbeddedPlatform;
const children: ChildProcess[] = [];

before(async () => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), "serve-signals-"));
    buildSync({
        entryPoints: ["src/main.ts"],
        outfile: path.join(folder, "main.cjs"),
        bundle: true,
        platform: "node",
        format: "cjs",
        external: ["unix-dgram"],
        define: { "import.meta.url": "undefined" },
        logLevel: "error",
    });
    embedded = await createEmbeddedPlatform(DEPLOYMENT_PRESETS[PresetName.Small], { platform: { vmListLagMs: 0 } });
});
after(() => {
    children.forEach(child => child.kill("SIGKILL"));
    embedded.dispose();
    fs.rmSync(folder, { recursive: true });
});

function startProgram(words: readonly string[], moment: Moment, signals: readonly NodeJS.Signals[]): Program {
    const preload = path.join(folder, `preload-${children.length}.cjs`);
    fs.writeFileSync(
        preload,
        `const signals = ${JSON.stringify(signals)};
        const send = () => signals.splice(0).forEach(signal => process.kill(process.pid, signal));
        ${moment}`,
    );
    const child = spawn(process.execPath, ["--require", preload, path.join(folder, "main.cjs"), ...words], {
        env: { ...process.env, NODE_OPTIONS: "" },
        stdio: ["ignore", "ignore", "pipe"],
    });
    children.push(child);
    let log = "";
    child.stderr.on("data", chunk => (log += String(chunk)));
    return {
        child,
        whenEnded: once(child, "close").then(([code, signal]) => (code ?? signal) as number | NodeJS.Signals),
        readLog: () => log,
    };
}

function startNode(moment: Moment, signals: readonly NodeJS.Signals[]): Program {
    const flags = { ...listServeFlags(embedded.platformUrl), drainMs: "100" };
    return startProgram(formatServeWords(flags), moment, signals);
}

async function waitForLog({ child, readLog }: Program, text: string): Promise<void> {
    while (!readLog().includes(text)) {
        assert.equal(child.signalCode ?? child.exitCode ?? "running", "running", `ended without "${text}"`);
        await pause(5);
    }
}

async function assertOnePlannedStop({ whenEnded, readLog }: Program): Promise<void> {
    assert.equal(await whenEnded, 0);
    assert.equal(readLog().split('"node leaving"').length, 2);
    assert.equal(readLog().split('"node ended"').length, 2);
}

// Guards against: a signal that comes before the program has installed its handlers ends the process.
describe("a node's process that gets a signal while it starts", OPTIONS, () => {
    for (const [name, moment] of Object.entries(Moment)) {
        for (const signal of STOP_SIGNALS) {
            it(`stops once, as planned, at ${signal} at ${name}`, OPTIONS, () =>
                assertOnePlannedStop(startNode(moment, [signal])),
            );
        }
        it(`stays at ${OTHER_SIGNALS.join(", ")} at ${name}, and acts on them`, OPTIONS, async () => {
            const node = startNode(moment, OTHER_SIGNALS);
            await waitForLog(node, "node started");
            await waitForLog(node, "a signal changes nothing");
            await waitForLog(node, '"tasks"');
            node.child.kill("SIGTERM");
            await assertOnePlannedStop(node);
        });
    }
});

// Guards against: a signal that changes nothing ends a process that is about to end by itself.
describe("a node's process that stops", OPTIONS, () => {
    it("ends with its own exit code however many other signals come", OPTIONS, async () => {
        const node = startNode(Moment.FirstStatements, []);
        await waitForLog(node, "node ready");
        node.child.kill("SIGTERM");
        let isEnded = false;
        const whenStopped = assertOnePlannedStop(node).finally(() => (isEnded = true));
        while (!isEnded) {
            OTHER_SIGNALS.forEach(signal => node.child.kill(signal));
            await pause(1);
        }
        await whenStopped;
    });
});

describe("a command that isn't a node", OPTIONS, () => {
    it("is ended by SIGINT as usual", OPTIONS, async () => {
        const program = startProgram(["status"], Moment.FirstStatements, ["SIGINT"]);
        assert.equal(await program.whenEnded, "SIGINT");
    });
});
