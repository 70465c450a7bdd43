/**
 * @module Nodes in this process, beside the embedded platform.
 */
import { createHash } from "node:crypto";
import { createNodeParts } from "../createNodeParts";
import { LogFormat, type LogLevel } from "../base/log/log";
import { type VmRecord, VmRole, VmState } from "../model/endpoint";
import type { Settings } from "../settings/settings";
import { type RunningNode, wireNode } from "../wire";
import type { DeploymentPreset } from "./deploymentPreset";
import type { EmbeddedPlatform } from "./createEmbeddedPlatform";

/** What the embedded nodes need to know. */
export interface EmbeddedNodesOptions {
    readonly operatorKey: string;
    readonly logLevel: LogLevel;
    readonly count?: number;
    /** Port of the first node's callers' listener; the others take the following ones (default: chosen by the system). */
    readonly firstCallerPort?: number;
    /** Likewise for the operators' listeners. */
    readonly firstOperatorPort?: number;
}

const NODE_MACHINE_CLASS = "entry-2";

/**
 * Starts the nodes of a preset on loopback and lists them at the platform.
 *
 * @param preset - Sizes and places
 * @param embedded - The embedded platform
 * @param options - Operator key, log level and ports
 * @returns The running nodes; rejects if one of them can't start, and then none runs
 * @example
 * const nodes = await createEmbeddedNodes(preset, embedded, { operatorKey, logLevel: LogLevel.Warn });
 */
export async function createEmbeddedNodes(
    preset: DeploymentPreset,
    embedded: EmbeddedPlatform,
    options: EmbeddedNodesOptions,
): Promise<readonly RunningNode[]> {
    const nodes: RunningNode[] = [];
    try {
        for (let index = 0; index < (options.count ?? preset.nodeCount); index++) {
            nodes.push(await startNode(preset, embedded, options, index));
        }
        return nodes;
    } catch (error) {
        nodes.forEach(node => node.dispose());
        throw error;
    }
}

async function startNode(
    preset: DeploymentPreset,
    embedded: EmbeddedPlatform,
    options: EmbeddedNodesOptions,
    index: number,
): Promise<RunningNode> {
    const settings = buildSettings(preset, embedded, options, index);
    const parts = createNodeParts(settings);
    const node = await wireNode(settings, parts).catch((error: unknown) => {
        parts.dispose();
        throw error;
    });
    embedded.platform.addVm(createNodeRecord(settings, node));
    return {
        ...node,
        dispose: () => {
            node.dispose();
            parts.dispose();
        },
    };
}

function buildSettings(
    preset: DeploymentPreset,
    embedded: EmbeddedPlatform,
    options: EmbeddedNodesOptions,
    index: number,
): Settings {
    const placement = preset.placements[index % preset.placements.length] ?? {
        region: "local",
        failureDomain: "local",
    };
    const url = embedded.platformUrl;
    const findPort = (first: number | undefined) => (first === undefined ? 0 : first + index);
    return {
        nodeId: `node-${index + 1}`,
        vmId: `node-vm-${index + 1}`,
        ...placement,
        callers: { address: "127.0.0.1", port: findPort(options.firstCallerPort) },
        callerLimits: {
            bodyBytes: 4_194_304,
            headerMs: 10_000,
            idleMs: 30_000,
            connections: 10_000,
            openRequests: 5_000,
        },
        operators: { address: "127.0.0.1", port: findPort(options.firstOperatorPort) },
        operatorKeyHashes: [createHash("sha256").update(options.operatorKey).digest("hex")],
        nodeLink: { address: "127.0.0.1", port: 0 },
        platform: { tableUrl: url, objectsUrl: url, cloudUrl: url, vmListUrl: url },
        logLevel: options.logLevel,
        logFormat: LogFormat.Text,
        drainMs: 25_000,
    };
}

function createNodeRecord(settings: Settings, node: RunningNode): VmRecord {
    return {
        vmId: settings.vmId,
        role: VmRole.Node,
        address: settings.nodeLink.address,
        port: node.nodeLinkPort,
        state: VmState.Live,
        machineClass: NODE_MACHINE_CLASS,
        isReclaimable: true,
        region: settings.region,
        failureDomain: settings.failureDomain,
        incarnation: 1,
    };
}
