/**
 * @module How other tasks have a request executed.
 */
import type { Result } from "neverthrow";
import type { Channel } from "../../base/csp";
import type { Failure } from "../../base/failure";
import type { ChatRequest, FinishReason, RequestContext, ServiceCall, TokenBatch, Usage } from "../../model/request";
import type { ServiceResponse } from "../../ports/applicationRunner";

/** What an answer consists of. */
export enum AnswerEventKind {
    Tokens = "tokens",
    Finished = "finished",
    Failed = "failed",
}

/**
 * One event of an answer. Token batches arrive in order, without gap or repeat, whatever attempts they came from.
 * Exactly one `Finished` or `Failed` ends the answer, and the channel closes after it.
 */
export type AnswerEvent =
    | { readonly kind: AnswerEventKind.Tokens; readonly batch: TokenBatch }
    | { readonly kind: AnswerEventKind.Finished; readonly reason: FinishReason; readonly usage: Usage }
    | { readonly kind: AnswerEventKind.Failed; readonly failure: Failure };

/** A chat request being executed. */
export interface ChatExecution {
    /** Bounded: while the reader is slow, the runner's connection is not read. */
    readonly answers: Channel<AnswerEvent>;
    /** Ends the work, also at the runner. */
    cancel(): void;
}

/** How a chat request is executed. */
export interface ChatOptions {
    /** Tokens of the answer that there are already, one text each; the answer's events begin after them. */
    readonly resumedTexts?: readonly string[];
}

/** Handle of the execution of requests: admission, claims, routing, attempts. */
export interface ExecutionClient {
    /** Executes a chat request. Every failure, also a refusal, arrives as the last event. */
    startChat(context: RequestContext, chat: ChatRequest, options?: ChatOptions): ChatExecution;
    /** Executes a call to an application runner. */
    callService(
        context: RequestContext,
        call: ServiceCall,
        cancelled: AbortSignal,
    ): Promise<Result<ServiceResponse, Failure>>;
}
