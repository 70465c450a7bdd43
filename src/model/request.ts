/**
 * @module Requests, their attempts and their outcomes.
 */
import type { Execution, Failure } from "../base/failure";

/** One message of a conversation. */
export interface ChatMessage {
    readonly role: string;
    readonly content: string;
}

/** A request for a model's answer, after the caller's JSON was checked. */
export interface ChatRequest {
    /** The service name, which callers know as the model. */
    readonly model: string;
    readonly messages: readonly ChatMessage[];
    /** Most tokens the answer may have. */
    readonly maximumTokens: number;
    /** Sampling settings of the caller's body that go to the engine unchanged. */
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

/** Who asks, for what class, and by when. */
export interface RequestContext {
    /** Unique over all nodes and times (a ULID). */
    readonly requestId: string;
    readonly accountName: string;
    readonly className: string;
    readonly isIdempotent: boolean;
    /** The caller's `Idempotency-Key`. */
    readonly idempotencyKey?: string;
    /** Monotonic milliseconds of this node. */
    readonly acceptedAtMs: number;
    /** When the first token (or the whole answer of a service call) is due; monotonic milliseconds. */
    readonly firstTokenDueAtMs: number;
    /** When the request fails if it has not ended; monotonic milliseconds. */
    readonly deadlineAtMs: number;
}

/** Identity of one attempt: late or crossed answers are told apart by it. */
export interface AttemptId {
    readonly requestId: string;
    /** 1 for the first attempt. */
    readonly attempt: number;
}

/** Why a stream of tokens ended regularly. */
export enum FinishReason {
    Stop = "stop",
    Length = "length",
}

/** Tokens of an answer, as they arrive from a model runner. */
export interface TokenBatch {
    /** Index of the first token of this batch in the whole answer. */
    readonly offset: number;
    readonly texts: readonly string[];
}

/** Token counts of an answer. */
export interface Usage {
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Prompt tokens found in the engine's prefix cache. */
    readonly cachedTokens: number;
}

/** What a model runner's stream consists of. */
export enum GenerationEventKind {
    Tokens = "tokens",
    Finished = "finished",
    Failed = "failed",
}

/** One event of a model runner's stream. After `Finished` or `Failed` nothing follows. */
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
