/**
 * @module Messages between the bench and the processes it starts.
 */
import type { VmRecord } from "../../src/model/endpoint";
import type { TrafficCount } from "../../src/nodes/nodeTransport";

/** What a process is started with, as JSON in its first argument. */
export interface NodeSetup {
    readonly nodeId: string;
    readonly region: string;
    readonly failureDomain: string;
    readonly platformPort: number;
    /** Folder with `node.crt`, `node.key` and `ca.crt`. */
    readonly keyFolder: string;
}

/** What a process tells the bench. */
export type NodeReport =
    | { readonly kind: "listening"; readonly port: number }
    | { readonly kind: "applied"; readonly nodeId: string; readonly revision: number; readonly atWallMs: number }
    | { readonly kind: "accepted"; readonly revision: number; readonly atWallMs: number }
    | { readonly kind: "refused"; readonly reason: string }
    | { readonly kind: "inForce"; readonly revision: number; readonly isInForce: boolean; readonly atWallMs: number }
    | { readonly kind: "usage"; readonly nodeId: string; readonly usage: NodeUsage };

/** What a process has used since its start. */
export interface NodeUsage {
    readonly liveNodes: number;
    readonly isReady: boolean;
    readonly cpuMs: number;
    readonly residentBytes: number;
    readonly traffic: TrafficCount;
    readonly tableReads: number;
    readonly tableWrites: number;
}

/** What the bench asks of a process. */
export type NodeRequest =
    | { readonly kind: "directory"; readonly vms: readonly VmRecord[] }
    | { readonly kind: "commit"; readonly label: string }
    | { readonly kind: "flood"; readonly updatesPerSecond: number }
    | { readonly kind: "usage" };
