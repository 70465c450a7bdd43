/**
 * @module What a simulated policy decides.
 */
import type { EndpointLoad, VmRecord } from "../../src/model/endpoint";
import type { CacheEvent } from "../../src/ports/modelRunner";
import type { ClusterSize } from "./settings";
import type { SimulatedRequest } from "./workload";

/** What a node may do in the simulation. */
export interface NodeWorld {
    readonly size: ClusterSize;
    readonly nodeId: string;
    /** Region and failure domain of the node. */
    readonly failureDomain: string;
    readonly seed: number;
    /** Sends the first attempt of a request. */
    start(request: SimulatedRequest): void;
    refuse(request: SimulatedRequest): void;
    /** Sends a load digest to all other nodes. */
    publishDigest(payload: Uint8Array): void;
}

/** One node under a policy. Times are simulated milliseconds. */
export interface PolicyNode {
    /** Decides whether a request starts now (`world.start`), later or never (`world.refuse`). */
    arrive(request: SimulatedRequest, nowMs: number): void;
    /** Chooses the runner of an attempt by its VM id. */
    choose(request: SimulatedRequest, attempt: number, nowMs: number): string | undefined;
    recordFirstToken(request: SimulatedRequest, attempt: number, elapsedMs: number, nowMs: number): void;
    /** An attempt ended; `isLost` if its runner is gone. */
    recordEnded(request: SimulatedRequest, attempt: number, elapsedMs: number, isLost: boolean, nowMs: number): void;
    finish(request: SimulatedRequest, nowMs: number): void;
    tick(nowMs: number): void;
    applyLoad(vmId: string, load: EndpointLoad, nowMs: number): void;
    applyCacheEvents(vmId: string, events: readonly CacheEvent[]): void;
    applyVms(vms: readonly VmRecord[], nowMs: number): void;
    applyDigest(fromNodeId: string, payload: Uint8Array, nowMs: number): void;
    /** Runners whose reports the node reads. */
    listPolled(): readonly string[];
}

/** A policy. */
export interface Policy {
    readonly name: string;
    createNode(world: NodeWorld): PolicyNode;
}
