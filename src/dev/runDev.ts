/**
 * @module `redwinglift dev`: the embedded default, everything on loopback in one process.
 */
import { createDisposableStore } from "../base/createDisposableStore";
import type { DisposableStore } from "../base/disposableStore";
import { FailureError } from "../base/failureError";
import { LogLevel } from "../base/log/log";
import type { RunningNode } from "../wire";
import { createEmbeddedNodes } from "./createEmbeddedNodes";
import { createEmbeddedPlatform, type EmbeddedPlatform } from "./createEmbeddedPlatform";
import { DEPLOYMENT_PRESETS, type DeploymentPreset, PresetName } from "./deploymentPreset";
import { installPresetConfiguration } from "./installPresetConfiguration";

const ACCOUNT_KEY = "rwl_dev_account";
const OPERATOR_KEY = "rwl_dev_operator";
const PROPAGATION_TIMEOUT_MS = 30_000;

/** Options of the command. */
export interface DevOptions {
    readonly preset?: PresetName;
    /** Port of the first node's callers' listener; the other nodes take the following ones. */
    readonly callerPort?: number;
    /** Port of the first node's operators' listener; the other nodes take the following ones. */
    readonly operatorPort?: number;
    readonly logLevel?: LogLevel;
    /** Takes each line for people. */
    readonly print: (line: string) => void;
}

/**
 * Runs the embedded platform and its nodes until the process is told to end.
 *
 * @param options - Preset, ports and output
 * @returns The exit code; rejects if the start fails, and then nothing runs
 * @example
 * process.exitCode = await runDev({ print: line => process.stdout.write(`${line}\n`) });
 */
export async function runDev(options: DevOptions): Promise<number> {
    const preset = DEPLOYMENT_PRESETS[options.preset ?? PresetName.Small];
    const owned = createDisposableStore();
    try {
        await startSystem(preset, owned, options);
        await new Promise(resolve => ["SIGINT", "SIGTERM"].forEach(signal => process.once(signal, resolve)));
        return 0;
    } finally {
        owned.dispose();
    }
}

async function startSystem(preset: DeploymentPreset, owned: DisposableStore, options: DevOptions): Promise<void> {
    const embedded = owned.add(await createEmbeddedPlatform(preset, { platform: { vmListLagMs: 0 } }));
    const nodes = await createEmbeddedNodes(preset, embedded, {
        operatorKey: OPERATOR_KEY,
        logLevel: options.logLevel ?? LogLevel.Warn,
        firstCallerPort: options.callerPort,
        firstOperatorPort: options.operatorPort,
    });
    nodes.forEach(node => owned.add(node));
    await installConfiguration(preset, nodes);
    describeSystem(preset, embedded, nodes).forEach(options.print);
}

async function installConfiguration(preset: DeploymentPreset, nodes: readonly RunningNode[]): Promise<void> {
    await Promise.all(nodes.map(node => node.whenReady));
    const [first] = nodes;
    if (first === undefined) {
        return;
    }
    const accepted = await installPresetConfiguration(preset, first.configuration, ACCOUNT_KEY);
    if (accepted.isErr()) {
        throw new FailureError(accepted.error);
    }
    await first.configuration.waitUntilInForce(accepted.value.revision, PROPAGATION_TIMEOUT_MS);
}

function describeSystem(
    preset: DeploymentPreset,
    embedded: EmbeddedPlatform,
    nodes: readonly RunningNode[],
): readonly string[] {
    const port = nodes[0]?.callerPort ?? 0;
    const body = JSON.stringify({
        model: preset.modelService.name,
        stream: true,
        messages: [{ role: "user", content: "Which feeders are out in the north?" }],
    });
    return [
        `platform stand-in  ${embedded.platformUrl}`,
        ...nodes.map(
            node =>
                `${node.nodeId}  callers http://127.0.0.1:${node.callerPort}  operators http://127.0.0.1:${node.operatorPort}`,
        ),
        `account key   ${ACCOUNT_KEY}  (account ${preset.accounts[0]?.name ?? ""})`,
        `operator key  ${OPERATOR_KEY}`,
        `classes       ${preset.classes.map(workClass => workClass.name).join(", ")}`,
        "",
        "Try:",
        `  curl -N http://127.0.0.1:${port}/v1/chat/completions -H 'authorization: Bearer ${ACCOUNT_KEY}' -H 'content-type: application/json' -d '${body}'`,
        `  REDWINGLIFT_OPERATOR_URL=http://127.0.0.1:${nodes[0]?.operatorPort ?? 0} REDWINGLIFT_OPERATOR_KEY=${OPERATOR_KEY} redwinglift status`,
        "",
        "Press Ctrl+C to end.",
    ];
}
