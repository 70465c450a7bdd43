/**
 * @module Calls from one node to another.
 */
import type { Result } from "neverthrow";
import type { Disposable } from "../base/disposableStore";
import type { Failure } from "../base/failure";

/** Where a node accepts calls of other nodes. */
export interface NodeAddress {
    /** IP number. */
    readonly address: string;
    readonly port: number;
}

/** What one node can ask another. The names are those of the methods in `nodeLink.proto`. */
export enum NodeCall {
    /** Tell each other what is new; also the sign of life of both. */
    Exchange = "Exchange",
    /** Ask for a sign of life, of the receiver or, through it, of a third node. */
    Probe = "Probe",
    /** Ask for configuration changes. */
    ReadChanges = "ReadChanges",
    /** Ask for all that is known of nodes, when joining. */
    ReadSnapshot = "ReadSnapshot",
}

/** How a call is made. */
export interface CallOptions {
    /** Bound of the whole call in milliseconds. */
    readonly timeoutMs: number;
    /** True: on a connection of its own, since an open one may be dead while new ones work. */
    readonly isNewConnection?: boolean;
}

/** Bytes of a node's traffic with other nodes since its start, framing and connection set-up included. */
export interface TrafficCount {
    readonly sentBytes: number;
    readonly receivedBytes: number;
    /** Calls made, by kind. */
    readonly calls: Readonly<Record<NodeCall, number>>;
    /** Connections opened. */
    readonly connections: number;
}

/** Answers a call. A rejection reaches the caller as `EndpointFailed`. */
export type CallHandler = (call: NodeCall, body: Uint8Array) => Promise<Uint8Array>;

/** Handle of the links to other nodes. Failures: `EndpointSilent` (no answer in time), `EndpointFailed`. */
export interface NodeTransport extends Disposable {
    callNode(
        target: NodeAddress,
        call: NodeCall,
        body: Uint8Array,
        options: CallOptions,
    ): Promise<Result<Uint8Array, Failure>>;
    /** Sets what answers the calls of other nodes; before that they fail. */
    setCallHandler(handler: CallHandler): void;
    countTraffic(): TrafficCount;
}
