/**
 * @module The state of one chat request being executed. Owned by its task.
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
import type { PromptDescription } from "../executionParts";
import type { ExecutionShared } from "./executionShared";

/** What an attempt is made for. */
export enum AttemptPurpose {
    First = "first",
    Retry = "retry",
    Hedge = "hedge",
    /** Continues a stream whose attempt failed. */
    Resume = "resume",
    /** Continues a stream, or repeats a request, of an endpoint that is going to leave. */
    Move = "move",
}

/** Sign of life of an endpoint, asked for on a new connection while a stream is silent. */
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
    /** Absent once no more notices can come. */
    notices: Channel<EndpointNotice> | undefined;
    readonly releaseWatch: () => void;
    lastEventAtMs: number;
    firstTokenAtMs: number | undefined;
    tokens: number;
    probe: ProbeState;
    /** Monotonic milliseconds at which the endpoint goes; absent while it stays. */
    goneAtMs: number | undefined;
}

/** Messages to the task of a chat request. */
export enum ControlKind {
    Cancelled = "cancelled",
    /** A time that the task waits for has come. */
    Wake = "wake",
    /** A slow reader has taken the answer event that waited for it. */
    ReaderReady = "reader_ready",
    RouteChosen = "route_chosen",
    Probed = "probed",
    MovePlanned = "move_planned",
    CacheMoved = "cache_moved",
    /** The time for a shutdown is over. */
    ShutdownExpired = "shutdown_expired",
}

/** KV cache that stands ready at another runner. */
export interface MovedCache {
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
    | { readonly kind: ControlKind.CacheMoved; readonly id: AttemptId; readonly moved: Result<MovedCache, Failure> }
    | { readonly kind: ControlKind.ShutdownExpired };

/** How a run ended, before the caller is told. */
export type ChatEnd =
    | { readonly isSuccess: true; readonly reason: FinishReason }
    | { readonly isSuccess: false; readonly failure: Failure };

/** The state of one chat request. */
export interface ChatRun {
    readonly shared: ExecutionShared;
    readonly context: RequestContext;
    readonly chat: ChatRequest;
    readonly prompt: PromptDescription;
    readonly answers: Channel<AnswerEvent>;
    readonly control: Channel<ControlMessage>;
    /** Aborted when the caller has cancelled; nothing is read any more then. */
    readonly cancelled: AbortSignal;
    /** The answer so far, one text a token. */
    readonly delivered: string[];
    readonly live: Map<number, LiveAttempt>;
    /** What is known of the attempts that have ended. */
    readonly pastExecutions: Execution[];
    /** Numbers given to attempts so far, whether they were made or not. */
    attemptNumber: number;
    /** Attempts made since the answer last grew; announced moves are left out. */
    attempts: number;
    /** Whether the next attempt is paid for already. */
    isCharged: boolean;
    excludedEndpointIds: readonly string[];
    /** Endpoints at which a connection went silent although they were alive. */
    readonly forgivenEndpointIds: Set<string>;
    hasHedge: boolean;
    /** A route that is being chosen for this attempt. */
    routing: { readonly id: AttemptId; readonly purpose: AttemptPurpose } | undefined;
    /** A cache move under way for this attempt, and when it is given up. */
    cacheMove: { readonly id: AttemptId; readonly untilMs: number } | undefined;
    /** A move that has not begun. */
    plannedMove: PlannedMove | undefined;
    /** Monotonic milliseconds of the next try after a pause. */
    retryAtMs: number | undefined;
    pauseMs: number;
    lastFailure: Failure | undefined;
    wakeAtMs: number | undefined;
    isReaderSlow: boolean;
    cachedTokens: number;
    promptTokens: number | undefined;
    end: ChatEnd | undefined;
}
