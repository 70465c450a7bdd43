/**
 * @module Requests, the attempts to serve them, and their outcomes.
 */
import type { Execution, Failure } from "../base/failure";

/** One message of a conversation. */
export interface ChatMessage {
    readonly role: string;
    readonly content: string;
}

/** A chat completion request, after validation of the caller's JSON. */
export interface ChatRequest {
    /** Name of the service, which callers state as the model. */
    readonly model: string;
    readonly messages: readonly ChatMessage[];
    /** Maximum number of tokens to generate. */
    readonly maximumTokens: number;
    /** Sampling settings of the caller's body, passed on to the engine unchanged. */
    readonly sampling: Readonly<Record<string, unknown>>;
}

/** A call to an application runner. */
export interface ServiceCall {
    readonly serviceName: string;
    readonly method: string;
    /** Path and query after `/services/{name}`, starting with a slash. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
}

/** Account, class and deadlines of a request. */
export interface RequestContext {
    /** Unique over all nodes and all time (a ULID). */
    readonly requestId: string;
    readonly accountName: string;
    readonly className: string;
    readonly isIdempotent: boolean;
    /** The caller's `Idempotency-Key`. */
    readonly idempotencyKey?: string;
    /** Time of acceptance, in monotonic milliseconds of this node. */
    readonly acceptedAtMs: number;
    /** Time at which the first token (or the whole response of a service call) is due, in monotonic milliseconds. */
    readonly firstTokenDueAtMs: number;
    /** Time at which the request fails if it hasn't ended, in monotonic milliseconds. */
    readonly deadlineAtMs: number;
}

/** Identity of one attempt, by which late or misdelivered responses are recognized. */
export interface AttemptId {
    readonly requestId: string;
    /** 1 for the first attempt. */
    readonly attempt: number;
}

/** Why the generation of tokens ended without a failure. */
export enum FinishReason {
    /** The model ended its output, or the engine stated any other reason. */
    Stop = "stop",
    /** The maximum number of tokens was generated. */
    Length = "length",
}

/** Consecutive tokens of a response, as they arrive from a model runner. */
export interface TokenBatch {
    /** Index of the first token of this batch in the whole response. */
    readonly offset: number;
    /** Text of each token. */
    readonly texts: readonly string[];
}

/** Token counts of a request and its response. */
export interface Usage {
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Prompt tokens found in the engine's prefix cache. */
    readonly cachedTokens: number;
}

/** Kinds of events in a model runner's stream. */
export enum GenerationEventKind {
    Tokens = "tokens",
    Finished = "finished",
    Failed = "failed",
}

/** One event of a model runner's stream. `Finished` and `Failed` are the last event of a stream. */
export type GenerationEvent =
    | { readonly kind: GenerationEventKind.Tokens; readonly id: AttemptId; readonly batch: TokenBatch }
    | {
          readonly kind: GenerationEventKind.Finished;
          readonly id: AttemptId;
          readonly reason: FinishReason;
          readonly usage: Usage;
      }
    | { readonly kind: GenerationEventKind.Failed; readonly id: AttemptId; readonly failure: Failure };

/** How a request ended. */
export type RequestOutcome =
    | { readonly isSuccess: true; readonly usage: Usage; readonly reason: FinishReason }
    | { readonly isSuccess: false; readonly failure: Failure; readonly execution: Execution };
