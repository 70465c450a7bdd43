/**
 * @module Creates the initial state of a chat request.
 */
import { type Channel, createChannel } from "../../../base/csp";
import type { ChatRequest, RequestContext } from "../../../model/request";
import { CONTROL_CHANNEL_CAPACITY, INITIAL_RETRY_BACKOFF_MS } from "../constants";
import { describePrompt } from "../describePrompt";
import type { AnswerEvent } from "../executionClient";
import type { ChatRun } from "./chatRun";
import type { ExecutionShared } from "./executionShared";

/**
 * Creates the state of a chat request.
 *
 * @param shared - State shared by the node's executions
 * @param context - Caller, class and deadline
 * @param chat - The chat request
 * @param answers - Receives the answer's events
 * @param cancelled - Aborted when the caller cancels
 * @param resumedTexts - Tokens of the answer that are already delivered
 * @returns The state, without attempts
 * @example
 * const run = createChatRun(shared, context, chat, answers, signal, []);
 */
export function createChatRun(
    shared: ExecutionShared,
    context: RequestContext,
    chat: ChatRequest,
    answers: Channel<AnswerEvent>,
    cancelled: AbortSignal,
    resumedTexts: readonly string[],
): ChatRun {
    return {
        shared,
        context,
        chat,
        prompt: (shared.dependencies.describePrompt ?? describePrompt)(chat),
        answers,
        cancelled,
        control: createChannel(CONTROL_CHANNEL_CAPACITY),
        deliveredTexts: [...resumedTexts],
        live: new Map(),
        pastExecutions: [],
        lastAttemptNumber: 0,
        attemptsSinceProgress: 0,
        isNextAttemptCharged: false,
        excludedEndpointIds: [],
        reconnectedEndpointIds: new Set(),
        hasHedge: false,
        routing: undefined,
        pendingCacheMove: undefined,
        plannedMove: undefined,
        retryAtMs: undefined,
        backoffMs: INITIAL_RETRY_BACKOFF_MS,
        lastFailure: undefined,
        wakeAtMs: undefined,
        isReaderSlow: false,
        cachedTokens: 0,
        promptTokens: undefined,
        end: undefined,
    };
}
