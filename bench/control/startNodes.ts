/**
 * @module Processes of the control bench.
 */
import { type ChildProcess, fork } from "node:child_process";
import fs from "node:fs";
import path from "node:path";
import { build } from "esbuild";
import { generate } from "selfsigned";
import { type VmRecord, VmRole, VmState } from "../../src/model/endpoint";
import type { NodeReport, NodeRequest, NodeSetup, NodeUsage } from "./nodeMessages";

const REGIONS = 5;
const DOMAINS_PER_REGION = 3;
const STARTS_AT_ONCE = 8;

/** Running processes. */
export interface BenchNodes {
    readonly size: number;
    send(index: number, request: NodeRequest): void;
    /** Asks all processes what they have used; in the order of their node ids. */
    collectUsage(): Promise<readonly NodeUsage[]>;
    subscribe(listener: (report: NodeReport) => void): () => void;
    stop(): Promise<void>;
}

/** Bundles the node program, so that a process is as large as it is in the one binary. */
export async function buildNodeProgram(folder: string): Promise<string> {
    const program = path.join(folder, "node.mjs");
    await build({
        entryPoints: ["bench/control/node.ts"],
        outfile: program,
        bundle: true,
        platform: "node",
        format: "esm",
        banner: { js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' },
        logLevel: "error",
    });
    return program;
}

/** Writes one key and certificate for all nodes. */
export async function writeKeys(folder: string): Promise<void> {
    const pems = await generate([{ name: "commonName", value: "redwinglift-node" }], {
        algorithm: "sha256",
        keyType: "ec",
        extensions: [
            { name: "basicConstraints", cA: true },
            { name: "subjectAltName", altNames: [{ type: 2, value: "redwinglift-node" }] },
        ],
    } as Parameters<typeof generate>[1]);
    fs.writeFileSync(path.join(folder, "node.crt"), pems.cert);
    fs.writeFileSync(path.join(folder, "node.key"), pems.private);
    fs.writeFileSync(path.join(folder, "ca.crt"), pems.cert);
}

/** Starts processes, a few at a time, and gives each the list of all. */
export async function startNodes(program: string, size: number, platformPort: number): Promise<BenchNodes> {
    const children: ChildProcess[] = [];
    const vms: VmRecord[] = [];
    const listeners = new Set<(report: NodeReport) => void>();
    for (let index = 0; index < size; index += STARTS_AT_ONCE) {
        const batch = Array.from({ length: Math.min(STARTS_AT_ONCE, size - index) }, (_unused, offset) =>
            startNode(program, createSetup(index + offset, platformPort, path.dirname(program)), listeners),
        );
        for (const started of await Promise.all(batch)) {
            children.push(started.child);
            vms.push(started.vm);
        }
    }
    const send = (index: number, request: NodeRequest) => void children[index]?.send(request);
    children.forEach(child => child.send({ kind: "directory", vms } satisfies NodeRequest));
    return {
        size,
        send,
        subscribe: listener => {
            listeners.add(listener);
            return () => void listeners.delete(listener);
        },
        collectUsage: () =>
            new Promise(resolve => {
                const usages = new Map<string, NodeUsage>();
                const listener = (report: NodeReport) => {
                    if (report.kind === "usage") {
                        usages.set(report.nodeId, report.usage);
                    }
                    if (usages.size === size) {
                        listeners.delete(listener);
                        resolve([...usages].sort().map(([, usage]) => usage));
                    }
                };
                listeners.add(listener);
                children.forEach(child => child.send({ kind: "usage" } satisfies NodeRequest));
            }),
        stop: async () => {
            const exits = children.map(child => new Promise(resolve => child.once("exit", resolve)));
            children.forEach(child => child.disconnect());
            await Promise.all(exits);
        },
    };
}

function createSetup(index: number, platformPort: number, keyFolder: string): NodeSetup {
    const region = `region-${index % REGIONS}`;
    const domain = Math.floor(index / REGIONS) % DOMAINS_PER_REGION;
    return {
        nodeId: `node-${String(index).padStart(3, "0")}`,
        region,
        failureDomain: `${region}-${domain}`,
        platformPort,
        keyFolder,
    };
}

function startNode(
    program: string,
    setup: NodeSetup,
    listeners: ReadonlySet<(report: NodeReport) => void>,
): Promise<{ readonly child: ChildProcess; readonly vm: VmRecord }> {
    const child = fork(program, [JSON.stringify(setup)]);
    return new Promise(resolve => {
        child.on("message", (report: NodeReport) => {
            if (report.kind === "listening") {
                resolve({ child, vm: createVm(setup, report.port) });
            } else {
                [...listeners].forEach(listener => listener(report));
            }
        });
    });
}

function createVm({ nodeId, region, failureDomain }: NodeSetup, port: number): VmRecord {
    return {
        vmId: nodeId,
        role: VmRole.Node,
        address: "127.0.0.1",
        port,
        region,
        failureDomain,
        state: VmState.Live,
        machineClass: "node",
        isReclaimable: true,
        incarnation: 1,
    };
}
