/**
 * @module Port to the engines of model runners.
 */
import type { Result } from "neverthrow";
import type { Channel } from "../base/csp";
import type { Failure } from "../base/failure";
import type { Endpoint, EndpointLoad } from "../model/endpoint";
import type { AttemptId, ChatRequest, GenerationEvent } from "../model/request";

/** What an engine is asked to generate. */
export interface GenerationRequest {
    readonly id: AttemptId;
    readonly chat: ChatRequest;
    /** Lower is more urgent. */
    readonly priority: number;
    /** Texts of the tokens that an earlier attempt generated, one per token; the engine continues after them. */
    readonly resumedTexts: readonly string[];
    /** Id of the KV cache to continue from, if `importCache` succeeded. */
    readonly importedCacheId?: string;
    /**
     * Opens a new connection instead of reusing one that may be dead, for requests that must not be repeated (default
     * false).
     */
    readonly usesNewConnection?: boolean;
}

/** A generation in progress. */
export interface Generation {
    /** The events of the stream, in a bounded channel; while it is full, the engine's connection isn't read. */
    readonly events: Channel<GenerationEvent>;
    /** True once the first byte of the request may have left this process. */
    hasSentBytes(): boolean;
    /** Stops the generation at the engine and closes the connection. */
    cancel(): void;
}

/** A change of an engine's prefix cache. Events arrive late, and some are lost. */
export interface CacheEvent {
    /** Increases by one with each event of the engine; a gap means that events were lost. */
    readonly sequence: number;
    /** Hash of a prompt prefix. */
    readonly prefixHash: string;
    /** True if the prefix was evicted, false if it was cached. */
    readonly isEvicted: boolean;
}

/** Kinds of orders to an engine. */
export enum RunnerOrderKind {
    LoadVersion = "load_version",
    LoadAdapter = "load_adapter",
    ChangeRole = "change_role",
}

/** An order to an engine. */
export interface RunnerOrder {
    readonly kind: RunnerOrderKind;
    /** Name of the version, adapter or role. */
    readonly argument: string;
    /** Fencing token: the epoch of the lease under which the order is sent. */
    readonly epoch: number;
    /** Idempotency token: an order that is sent twice with the same token takes effect once. */
    readonly token: string;
}

/** The state that an engine reports, which shows whether an order took effect whose response was lost. */
export interface RunnerState {
    readonly version: string;
    readonly adapters: readonly string[];
    readonly role: string;
    /** Highest epoch that the engine has seen; `undefined` if it doesn't check fencing tokens. */
    readonly epoch: number | undefined;
}

/** Calls the engines of model runners. Failures: `EndpointFailed`, `EndpointSilent`, `EndpointRefused`. */
export interface ModelRunnerPort {
    /** Starts a generation. Every failure, including one of the connection, arrives as an event. */
    openGeneration(endpoint: Endpoint, request: GenerationRequest): Generation;
    /** Reads the load that the engine reports. */
    readLoad(endpoint: Endpoint): Promise<Result<EndpointLoad, Failure>>;
    /** Lists the cache events after a sequence number; the engine keeps only the latest events. */
    listCacheEvents(endpoint: Endpoint, afterSequence: number): Promise<Result<readonly CacheEvent[], Failure>>;
    /** Checks on a new connection that the runner responds. */
    probeRunner(endpoint: Endpoint): Promise<Result<void, Failure>>;
    /** Sends an order to the engine. */
    sendOrder(endpoint: Endpoint, order: RunnerOrder): Promise<Result<void, Failure>>;
    /** Reads the state that the engine reports. */
    readState(endpoint: Endpoint): Promise<Result<RunnerState, Failure>>;
    /** Exports the KV cache of a running attempt; gives its size and an id by which another runner can import it. */
    exportCache(
        endpoint: Endpoint,
        id: AttemptId,
    ): Promise<Result<{ readonly cacheId: string; readonly bytes: number; readonly tokens: number }, Failure>>;
    /** Imports a KV cache that another runner exported. */
    importCache(endpoint: Endpoint, from: Endpoint, cacheId: string): Promise<Result<void, Failure>>;
}
