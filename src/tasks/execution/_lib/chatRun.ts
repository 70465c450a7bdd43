/**
 * @module State of one chat request in progress. Only its own task changes it.
 */
import type { Channel } from "../../../base/csp";
import type { Execution, Failure } from "../../../base/failure";
import type { PlannedMove } from "../../../decisions/outcomes/reclaim/reclaimMove";
import type { Endpoint } from "../../../model/endpoint";
import type { AttemptId, ChatRequest, FinishReason, RequestContext } from "../../../model/request";
import type { Result } from "neverthrow";
import type { Generation } from "../../../ports/modelRunner";
import type { EndpointNotice, RouteDecision } from "../../routing/routingClient";
import type { AnswerEvent } from "../executionClient";
import type { PromptDescription } from "../executionDependencies";
import type { ExecutionShared } from "./executionShared";

/** Why an attempt is made. */
export enum AttemptPurpose {
    First = "first",
    Retry = "retry",
    Hedge = "hedge",
    /** Continues a stream whose attempt failed. */
    Resume = "resume",
    /** Continues a stream, or repeats a request, whose endpoint is leaving. */
    Move = "move",
}

/** State of the liveness probe that is sent on a new connection while a stream is silent. */
export enum ProbeState {
    None = "none",
    Running = "running",
    Alive = "alive",
    Dead = "dead",
}

/** An attempt whose events are read. */
export interface LiveAttempt {
    readonly id: AttemptId;
    readonly purpose: AttemptPurpose;
    readonly endpoint: Endpoint;
    readonly generation: Generation;
    readonly estimatedFirstTokenMs: number;
    /** Monotonic milliseconds. */
    readonly sentAtMs: number;
    /** Reclaim notices of the endpoint; absent once the channel has closed. */
    notices: Channel<EndpointNotice> | undefined;
    readonly releaseWatch: () => void;
    lastEventAtMs: number;
    firstTokenAtMs: number | undefined;
    tokens: number;
    probe: ProbeState;
    /** Monotonic milliseconds at which the endpoint will be gone; absent without a notice. */
    goneAtMs: number | undefined;
}

/** Kinds of control messages to the task of a chat request. */
export enum ControlKind {
    Cancelled = "cancelled",
    /** A timer set by the task has fired. */
    Wake = "wake",
    /** The answer channel has taken the event that waited for room. */
    ReaderReady = "reader_ready",
    RouteChosen = "route_chosen",
    Probed = "probed",
    MovePlanned = "move_planned",
    CacheMoved = "cache_moved",
    /** The drain timeout of a shutdown has expired. */
    ShutdownTimedOut = "shutdown_expired",
}

/** KV cache that was imported by another runner. */
export interface ImportedCache {
    readonly route: RouteDecision;
    readonly cacheId: string;
    /** Prompt and answer tokens in the cache. */
    readonly tokens: number;
}

/** One message to the task of a chat request. */
export type ControlMessage =
    | { readonly kind: ControlKind.Cancelled }
    | { readonly kind: ControlKind.Wake; readonly atMs: number }
    | { readonly kind: ControlKind.ReaderReady }
    | {
          readonly kind: ControlKind.RouteChosen;
          readonly id: AttemptId;
          readonly purpose: AttemptPurpose;
          readonly route: Result<RouteDecision, Failure>;
      }
    | { readonly kind: ControlKind.Probed; readonly attempt: number; readonly isAlive: boolean }
    | { readonly kind: ControlKind.MovePlanned; readonly move: PlannedMove }
    | { readonly kind: ControlKind.CacheMoved; readonly id: AttemptId; readonly moved: Result<ImportedCache, Failure> }
    | { readonly kind: ControlKind.ShutdownTimedOut };

/** Result of a run, set before the caller receives the last event. */
export type ChatResult =
    | { readonly isSuccess: true; readonly reason: FinishReason }
    | { readonly isSuccess: false; readonly failure: Failure };

/** State of one chat request. */
export interface ChatRun {
    readonly shared: ExecutionShared;
    readonly context: RequestContext;
    readonly chat: ChatRequest;
    readonly prompt: PromptDescription;
    readonly answers: Channel<AnswerEvent>;
    readonly control: Channel<ControlMessage>;
    /** Aborted when the caller has cancelled; the caller no longer reads the answer then. */
    readonly cancelled: AbortSignal;
    /** Answer tokens sent to the caller so far, one text each. */
    readonly deliveredTexts: string[];
    /** Attempts in progress, by attempt number. */
    readonly live: Map<number, LiveAttempt>;
    /** What is known about the execution of each ended attempt. */
    readonly pastExecutions: Execution[];
    /** Highest attempt number assigned so far, including attempts that were never sent. */
    lastAttemptNumber: number;
    /** Attempts made since the answer last grew, without moves from leaving endpoints. */
    attemptsSinceProgress: number;
    /** Whether the next attempt has already been charged to the retry budget, or is exempt from it. */
    isNextAttemptCharged: boolean;
    /** Endpoints that failed and may not be chosen until the next backoff ends. */
    excludedEndpointIds: readonly string[];
    /** Endpoints that were given a second connection, since they answered a probe when the first one was silent. */
    readonly reconnectedEndpointIds: Set<string>;
    hasHedge: boolean;
    /** The attempt for which a route is being chosen. */
    routing: { readonly id: AttemptId; readonly purpose: AttemptPurpose } | undefined;
    /** The cache move in progress: the attempt that will continue from it, and when the move is abandoned. */
    pendingCacheMove: { readonly id: AttemptId; readonly timeoutAtMs: number } | undefined;
    /** The planned move that has not started yet. */
    plannedMove: PlannedMove | undefined;
    /** Monotonic milliseconds of the next retry after a backoff. */
    retryAtMs: number | undefined;
    /** Length of the next backoff. */
    backoffMs: number;
    lastFailure: Failure | undefined;
    /** Monotonic milliseconds at which the earliest timer fires. */
    wakeAtMs: number | undefined;
    /** Whether the answer channel is full; generation events are not read until it has room. */
    isReaderSlow: boolean;
    cachedTokens: number;
    /** Prompt tokens as counted by the engine. */
    promptTokens: number | undefined;
    end: ChatResult | undefined;
}
