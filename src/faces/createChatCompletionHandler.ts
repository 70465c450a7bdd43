/**
 * @module `POST /v1/chat/completions`.
 */
import { waitFor } from "../base/csp";
import { createFailure } from "../base/createFailure";
import { FailureKind } from "../base/failure";
import type { RequestContext } from "../model/request";
import { endWithFailure } from "./_lib/endWithFailure";
import { parseJson } from "../http/parseJson";
import { readBody } from "../http/readBody";
import { buildRequestContext } from "./buildRequestContext";
import type { CallerDependencies } from "./callerDependencies";
import type { CompletionIdentity } from "./completionBodies";
import type { ExchangeHandler, HttpExchange } from "./httpExchange";
import { type ParsedChatRequest, parseChatRequest } from "./parseChatRequest";
import { handleJobSubmission } from "./handleJobSubmission";
import { sendStreamedAnswer } from "./sendStreamedAnswer";
import { sendWholeAnswer } from "./sendWholeAnswer";

const MS_PER_SECOND = 1_000;
const RESPOND_ASYNC = /(^|[,\s])respond-async($|[,;\s])/i;

/**
 * Creates the handler of chat completions: streamed, whole, or accepted as a job with `Prefer: respond-async`.
 *
 * @param dependencies - The handles it uses
 * @returns The handler
 * @example
 * const handler = createChatCompletionHandler(dependencies);
 */
export function createChatCompletionHandler(dependencies: CallerDependencies): ExchangeHandler {
    return function* (exchange) {
        const body = yield* waitFor(readBody(exchange.request, dependencies.limits));
        const parsed = body.andThen(parseJson).andThen(parseChatRequest);
        if (parsed.isErr()) {
            return endWithFailure(exchange, parsed.error);
        }
        const configuration = dependencies.configuration.readCurrent();
        const context = buildRequestContext(exchange.request.headers, exchange.account, configuration, exchange);
        if (context.isErr()) {
            return endWithFailure(exchange, context.error);
        }
        if (!Object.hasOwn(configuration.services, parsed.value.chat.model)) {
            const message = `There is no model named ${JSON.stringify(parsed.value.chat.model)}.`;
            const failure = createFailure(FailureKind.UnknownModel, message);
            return endWithFailure(exchange, failure, context.value.className);
        }
        if (RESPOND_ASYNC.test(String(exchange.request.headers["prefer"] ?? ""))) {
            return yield* handleJobSubmission(dependencies, exchange, context.value, parsed.value.chat);
        }
        return yield* runNow(dependencies, exchange, context.value, parsed.value);
    };
}

function* runNow(
    dependencies: CallerDependencies,
    exchange: HttpExchange,
    context: RequestContext,
    parsed: ParsedChatRequest,
): ReturnType<ExchangeHandler> {
    const execution = dependencies.execution.startChat(context, parsed.chat);
    const cancel = () => execution.cancel();
    exchange.callerGone.addEventListener("abort", cancel, { once: true });
    if (exchange.callerGone.aborted) {
        execution.cancel();
    }
    const identity: CompletionIdentity = {
        requestId: context.requestId,
        createdSeconds: Math.floor(dependencies.clock.readWallMs() / MS_PER_SECOND),
        model: parsed.chat.model,
    };
    const send = parsed.isStreamed ? sendStreamedAnswer : sendWholeAnswer;
    const end = yield* send(exchange, execution, identity, { includesUsage: parsed.includesUsage });
    exchange.callerGone.removeEventListener("abort", cancel);
    return { className: context.className, ...end };
}
