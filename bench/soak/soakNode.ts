/**
 * @module A node as a process of its own, at ports that stay the same over restarts.
 */
import { createHash } from "node:crypto";
import net from "node:net";
import { type VmRecord, VmRole, VmState } from "../../src/model/endpoint";
import { type StartedProgram, startProgram } from "../_lib/startProgram";

/** A node of the soak. */
export interface SoakNode {
    readonly nodeId: string;
    readonly callerPort: number;
    /** False while it is down, paused or draining; callers then choose another node, as behind a balancer. */
    isServing: boolean;
    /** Messages of broken invariants in its log. */
    readonly breaches: readonly string[];
    start(): Promise<void>;
    stop(signal: NodeJS.Signals): Promise<void>;
    signal(signal: NodeJS.Signals): void;
    describeVm(): VmRecord;
}

/** Where a node stands and what platform it uses. */
export interface SoakNodeOptions {
    readonly nodeId: string;
    readonly region: string;
    readonly platformUrl: string;
    readonly operatorKey: string;
    /** Takes each line of its log. */
    readonly handleLine: (line: string) => void;
}

const BREACH_MESSAGE = "an invariant does not hold";

/**
 * Creates a node that is not started yet.
 *
 * @param options - Name, place, platform
 * @returns The node
 * @example
 * const node = await createSoakNode({ nodeId: "node-1", region: "hobart", platformUrl, ...others });
 * await node.start();
 */
export async function createSoakNode(options: SoakNodeOptions): Promise<SoakNode> {
    const [callerPort, operatorPort, nodePort] = await Promise.all([findFreePort(), findFreePort(), findFreePort()]);
    const breaches: string[] = [];
    let program: StartedProgram | undefined;
    let starts = 0;
    const handleLine = (line: string) => {
        options.handleLine(line);
        if (line.includes(BREACH_MESSAGE)) {
            breaches.push(line);
        }
    };
    const node: SoakNode = {
        nodeId: options.nodeId,
        callerPort,
        isServing: false,
        breaches,
        start: async () => {
            starts++;
            program = await startProgram("dist/redwinglift", {
                arguments: [
                    "serve",
                    `--node-id=${options.nodeId}`,
                    `--vm-id=${options.nodeId}-vm`,
                    `--region=${options.region}`,
                    `--failure-domain=${options.region}`,
                    `--caller-port=${callerPort}`,
                    `--operator-port=${operatorPort}`,
                    `--node-port=${nodePort}`,
                    `--platform-table-url=${options.platformUrl}`,
                    `--platform-objects-url=${options.platformUrl}`,
                    `--platform-cloud-url=${options.platformUrl}`,
                    `--platform-vm-list-url=${options.platformUrl}`,
                    "--log-format=json",
                    "--drain-ms=20000",
                ],
                environment: {
                    REDWINGLIFT_OPERATOR_KEY_HASHES: createHash("sha256").update(options.operatorKey).digest("hex"),
                },
                isReady: line => line["message"] === "node ready",
                handleLine,
            });
            node.isServing = true;
        },
        stop: async signal => {
            node.isServing = false;
            await program?.stop(signal);
        },
        signal: signal => program?.signal(signal),
        describeVm: () => ({
            vmId: `${options.nodeId}-vm`,
            role: VmRole.Node,
            address: "127.0.0.1",
            port: nodePort,
            state: VmState.Live,
            machineClass: "entry-2",
            isReclaimable: true,
            region: options.region,
            failureDomain: options.region,
            incarnation: starts,
        }),
    };
    return node;
}

function findFreePort(): Promise<number> {
    return new Promise((resolve, reject) => {
        const server = net.createServer().once("error", reject);
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address() as net.AddressInfo;
            server.close(() => resolve(port));
        });
    });
}
