/**
 * @module Executes requests: one js-csp task a request.
 */
import { err, type Result } from "neverthrow";
import { closeChannel, createChannel, put, startTask, type Step, take, waitFor } from "../../base/csp";
import { createFailure } from "../../base/createFailure";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import { type AttemptId, type ChatRequest, GenerationEventKind, type RequestContext } from "../../model/request";
import type { ServiceCall } from "../../model/request";
import type { ServiceAnswer } from "../../ports/applicationRunner";
import type { Channel } from "../../base/csp";
import { AttemptReportKind, type RouteQuery } from "../routing/routingClient";
import { ANSWER_CHANNEL_CAPACITY, CHAT_ROUTE } from "./constants";
import { type AnswerEvent, AnswerEventKind, type ExecutionClient } from "./executionClient";
import type { ExecutionParts } from "./executionParts";

/**
 * Creates the execution of requests.
 *
 * @param parts - Admission, routing, runners and clock
 * @returns The client for the callers' faces and the jobs
 * @example
 * const execution = createExecutionTask(parts);
 * const chat = execution.startChat(context, request);
 */
export function createExecutionTask(parts: ExecutionParts): ExecutionClient {
    return {
        startChat: (context, chat) => {
            const answers = createChannel<AnswerEvent>(ANSWER_CHANNEL_CAPACITY);
            const cancelled = new AbortController();
            const task = startTask(`chat ${context.requestId}`, () =>
                runChat(parts, context, chat, answers, cancelled.signal),
            );
            void task.ended.then(() => closeChannel(answers));
            return { answers, cancel: () => cancelled.abort() };
        },
        callService: (context, call, cancelled) => runServiceCall(parts, context, call, cancelled),
    };
}

function* runChat(
    parts: ExecutionParts,
    context: RequestContext,
    chat: ChatRequest,
    answers: Channel<AnswerEvent>,
    cancelled: AbortSignal,
): Step<void> {
    const prompt = parts.describePrompt(chat);
    const size = { promptTokens: prompt.promptTokens, maximumTokens: chat.maximumTokens };
    const admitted = yield* waitFor(parts.admission.requestAdmission({ context, serviceName: chat.model, ...size }));
    if (admitted.isErr()) {
        yield* put(answers, { kind: AnswerEventKind.Failed, failure: admitted.error });
        return;
    }
    const usedTokens = yield* runAttempt(parts, context, chat, answers, cancelled);
    parts.admission.finishRequest(context.requestId, usedTokens);
}

function* runAttempt(
    parts: ExecutionParts,
    context: RequestContext,
    chat: ChatRequest,
    answers: Channel<AnswerEvent>,
    cancelled: AbortSignal,
): Step<number> {
    const id: AttemptId = { requestId: context.requestId, attempt: 1 };
    const prompt = parts.describePrompt(chat);
    const query = buildQuery(context, id, chat.model, CHAT_ROUTE);
    const route = yield* waitFor(
        parts.routing.chooseEndpoint({ ...query, ...prompt, maximumTokens: chat.maximumTokens }),
    );
    if (route.isErr()) {
        yield* put(answers, { kind: AnswerEventKind.Failed, failure: route.error });
        return 0;
    }
    const { endpoint } = route.value;
    const sentAtMs = parts.clock.readMonotonicMs();
    const generation = parts.models.openGeneration(endpoint, { id, chat, priority: 0, resumedTexts: [] });
    const stop = () => generation.cancel();
    cancelled.addEventListener("abort", stop);
    let outputTokens = 0;
    for (;;) {
        const event = yield* take(generation.events);
        const elapsedMs = parts.clock.readMonotonicMs() - sentAtMs;
        const report = { id, endpointId: endpoint.endpointId, elapsedMs };
        if (event === undefined || event.kind === GenerationEventKind.Failed) {
            const failure = event?.failure ?? createEndedEarly();
            parts.routing.recordReport({ ...report, kind: AttemptReportKind.Failed, tokens: 0, failure });
            yield* put(answers, { kind: AnswerEventKind.Failed, failure });
            break;
        }
        if (event.kind === GenerationEventKind.Finished) {
            parts.routing.recordReport({ ...report, kind: AttemptReportKind.Finished, tokens: 0 });
            yield* put(answers, { kind: AnswerEventKind.Finished, reason: event.reason, usage: event.usage });
            break;
        }
        const kind = outputTokens === 0 ? AttemptReportKind.FirstToken : AttemptReportKind.Tokens;
        outputTokens += event.batch.texts.length;
        parts.routing.recordReport({ ...report, kind, tokens: event.batch.texts.length });
        yield* put(answers, { kind: AnswerEventKind.Tokens, batch: event.batch });
    }
    cancelled.removeEventListener("abort", stop);
    return prompt.promptTokens + outputTokens;
}

function buildQuery(context: RequestContext, id: AttemptId, serviceName: string, route: string): RouteQuery {
    return {
        id,
        context,
        serviceName,
        route,
        prefixHashes: [],
        promptTokens: 0,
        maximumTokens: 0,
        excludedEndpointIds: [],
    };
}

function createEndedEarly(): Failure {
    return createFailure(FailureKind.EndpointFailed, "The runner ended the stream early.", {
        execution: Execution.Unknown,
    });
}

async function runServiceCall(
    parts: ExecutionParts,
    context: RequestContext,
    call: ServiceCall,
    cancelled: AbortSignal,
): Promise<Result<ServiceAnswer, Failure>> {
    const size = { promptTokens: 1, maximumTokens: 0 };
    const admitted = await parts.admission.requestAdmission({ context, serviceName: call.serviceName, ...size });
    if (admitted.isErr()) {
        return err(admitted.error);
    }
    const id: AttemptId = { requestId: context.requestId, attempt: 1 };
    const route = await parts.routing.chooseEndpoint(buildQuery(context, id, call.serviceName, call.path));
    if (route.isErr()) {
        parts.admission.finishRequest(context.requestId, 0);
        return err(route.error);
    }
    const { endpoint } = route.value;
    const sentAtMs = parts.clock.readMonotonicMs();
    const timeoutMs = context.deadlineAtMs - sentAtMs;
    const answer = await parts.applications.callService(endpoint, id, call, { timeoutMs, cancelled });
    const elapsedMs = parts.clock.readMonotonicMs() - sentAtMs;
    const failure = answer.isErr() ? answer.error : undefined;
    const kind = answer.isErr() ? AttemptReportKind.Failed : AttemptReportKind.Finished;
    parts.routing.recordReport({ kind, id, endpointId: endpoint.endpointId, elapsedMs, tokens: 0, failure });
    parts.admission.finishRequest(context.requestId, 1);
    return answer;
}
