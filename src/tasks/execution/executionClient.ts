/**
 * @module Client interface through which other tasks have requests executed.
 */
import type { Result } from "neverthrow";
import type { Channel } from "../../base/csp";
import type { Failure } from "../../base/failure";
import type { ChatRequest, FinishReason, RequestContext, ServiceCall, TokenBatch, Usage } from "../../model/request";
import type { ServiceResponse } from "../../ports/applicationRunner";

/** Kinds of answer events. */
export enum AnswerEventKind {
    Tokens = "tokens",
    Finished = "finished",
    Failed = "failed",
}

/**
 * One event of an answer. Token batches arrive in order, without gaps or repeats, even if they come from several attempts.
 * Exactly one `Finished` or `Failed` ends the answer, and the channel closes after it.
 */
export type AnswerEvent =
    | { readonly kind: AnswerEventKind.Tokens; readonly batch: TokenBatch }
    | { readonly kind: AnswerEventKind.Finished; readonly reason: FinishReason; readonly usage: Usage }
    | { readonly kind: AnswerEventKind.Failed; readonly failure: Failure };

/** A chat request being executed. */
export interface ChatExecution {
    /** Bounded: while it is full, the runner's connection is not read. */
    readonly answers: Channel<AnswerEvent>;
    /** Cancels the request, also at the runner. */
    cancel(): void;
}

/** Options of a chat request's execution. */
export interface ChatOptions {
    /** Tokens of the answer that are already delivered, one text each; the answer's events begin after them. */
    readonly resumedTexts?: readonly string[];
}

/** Executes requests: admission, claims, routing and attempts. */
export interface ExecutionClient {
    /** Executes a chat request. Every failure, including a refusal, arrives as the last event. */
    startChat(context: RequestContext, chat: ChatRequest, options?: ChatOptions): ChatExecution;
    /** Executes a call to an application runner. */
    callService(
        context: RequestContext,
        call: ServiceCall,
        cancelled: AbortSignal,
    ): Promise<Result<ServiceResponse, Failure>>;
}
