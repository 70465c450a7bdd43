/**
 * @module A node and its stand-ins as processes of the same form as the built programs.
 */
import { createHash } from "node:crypto";
import fs from "node:fs";
import os from "node:os";
import path from "node:path";
import { build } from "esbuild";
import { createHttpTable } from "../../../src/adapters/httpTable/createHttpTable";
import { createRandom } from "../../../src/base/createRandom";
import { createSystemClock } from "../../../src/base/createSystemClock";
import { DEPLOYMENT_PRESETS, PresetName } from "../../../src/dev/deploymentPreset";
import { installPresetConfiguration } from "../../../src/dev/installPresetConfiguration";
import { validateConfiguration } from "../../../src/queries/validateConfiguration";
import { createConfigurationTask } from "../../../src/tasks/configuration/createConfigurationTask";
import { startProgram } from "../../_lib/startProgram";

const RUNNERS = 4;
const SETTLE_MS = 4_000;
const ACCOUNT_KEY = "rwl_bench";

interface Platform {
    readonly address: string;
    readonly port: number;
}

/** A running node. */
export interface RunningPath {
    readonly target: { readonly port: number; readonly headers: Readonly<Record<string, string>> };
    readonly processId: number;
    stop(): Promise<void>;
}

/**
 * Starts four model runner stand-ins, the platform stand-in and one node with its configuration.
 *
 * @param tokenGapMs - Time between two tokens of a stand-in
 * @returns The node, settled
 * @example
 * const running = await startPath(28);
 */
export async function startPath(tokenGapMs: number): Promise<RunningPath> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "redwinglift-capacity-"));
    const programs = { node: path.join(folder, "node.cjs"), standins: path.join(folder, "standins.cjs") };
    await buildProgram("src/main.ts", programs.node);
    await buildProgram("src/standins/main.ts", programs.standins);
    const standins = await startProgram(process.execPath, {
        arguments: [
            programs.standins,
            `--model-runners=${Array.from({ length: RUNNERS }, () => 0).join(",")}`,
            "--application-runners=0",
            "--failure-domains=hobart/hobart",
            `--token-gap-ms=${tokenGapMs}`,
            "--maximum-running=1000",
            "--vm-list-lag-ms=0",
        ],
        isReady: line => "platform" in line,
    });
    const platform = standins.announcement["platform"] as Platform;
    await installConfiguration(platform);
    const url = `http://${platform.address}:${platform.port}`;
    const node = await startProgram(process.execPath, {
        arguments: [
            programs.node,
            "serve",
            "--node-id=bench-node",
            "--vm-id=bench-node-vm",
            "--region=hobart",
            "--failure-domain=hobart",
            "--caller-port=0",
            "--operator-port=0",
            "--node-port=0",
            ...["table", "objects", "cloud", "vm-list"].map(part => `--platform-${part}-url=${url}`),
            "--log-format=json",
        ],
        environment: { REDWINGLIFT_OPERATOR_KEY_HASHES: createHash("sha256").update("bench").digest("hex") },
        isReady: line => line["message"] === "node started",
    });
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    return {
        target: {
            port: Number(node.announcement["callerPort"]),
            headers: { authorization: `Bearer ${ACCOUNT_KEY}` },
        },
        processId: node.processId,
        stop: async () => {
            await node.stop();
            await standins.stop();
            fs.rmSync(folder, { recursive: true });
        },
    };
}

async function buildProgram(entry: string, outfile: string): Promise<void> {
    await build({
        entryPoints: [entry],
        outfile,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        minifySyntax: true,
        external: ["unix-dgram"],
        define: { "process.env.REDWINGLIFT_VERSION": '"bench"', "import.meta.url": "undefined" },
        logLevel: "error",
    });
}

async function installConfiguration(platform: Platform): Promise<void> {
    const table = createHttpTable(platform);
    const configuration = createConfigurationTask({
        nodeId: "bench",
        table,
        clock: createSystemClock(),
        random: createRandom(1),
        validate: validateConfiguration,
    });
    await configuration.whenReady;
    const preset = DEPLOYMENT_PRESETS[PresetName.Small];
    // Targets far above what is measured, so that admission shows its cost and refuses nothing.
    const classes = preset.classes.map(workClass => ({ ...workClass, latencyTargetMs: 30_000, deadlineMs: 120_000 }));
    const installed = await installPresetConfiguration({ ...preset, classes }, configuration, ACCOUNT_KEY);
    configuration.dispose();
    table.dispose();
    if (installed.isErr()) {
        throw new Error(installed.error.message);
    }
}
