/**
 * @module The state of a chat request at its start.
 */
import { type Channel, createChannel } from "../../../base/csp";
import type { ChatRequest, RequestContext } from "../../../model/request";
import { CONTROL_CHANNEL_CAPACITY, RETRY_PAUSE_MS } from "../constants";
import { describePrompt } from "../describePrompt";
import type { AnswerEvent } from "../executionClient";
import type { ChatRun } from "./chatRun";
import type { ExecutionShared } from "./executionShared";

/**
 * Creates the state of a chat request.
 *
 * @param shared - What the node's executions share
 * @param context - Who asks, and by when
 * @param chat - What is asked
 * @param answers - Where the answer goes
 * @param cancelled - Aborted when the caller cancels
 * @param resumedTexts - Tokens of the answer that there are already
 * @returns The state, without any attempt
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
        prompt: (shared.parts.describePrompt ?? describePrompt)(chat),
        answers,
        cancelled,
        control: createChannel(CONTROL_CHANNEL_CAPACITY),
        delivered: [...resumedTexts],
        live: new Map(),
        pastExecutions: [],
        attemptNumber: 0,
        attempts: 0,
        isCharged: false,
        excludedEndpointIds: [],
        forgivenEndpointIds: new Set(),
        hasHedge: false,
        routing: undefined,
        cacheMove: undefined,
        plannedMove: undefined,
        retryAtMs: undefined,
        pauseMs: RETRY_PAUSE_MS,
        lastFailure: undefined,
        wakeAtMs: undefined,
        isReaderSlow: false,
        cachedTokens: 0,
        promptTokens: undefined,
        end: undefined,
    };
}
