/**
 * @module Answers sent to the caller as one JSON body.
 */
import { take, type TaskGenerator } from "../base/csp";
import { createFailure } from "../base/createFailure";
import { Execution, FailureKind } from "../base/failure";
import { AnswerEventKind, type ChatExecution } from "../tasks/execution/executionClient";
import { sendJson } from "../http/sendJson";
import { buildCompletion, type CompletionIdentity } from "./completionBodies";
import type { ExchangeEnd, HttpExchange } from "./httpExchange";
import { sendFailure } from "../http/sendFailure";

/**
 * Collects an answer and sends it whole, or its failure.
 *
 * @param exchange - The exchange to answer
 * @param execution - The request being executed
 * @param identity - The answer's identity
 * @returns How the exchange ended
 * @example
 * return yield* sendWholeAnswer(exchange, execution, identity);
 */
export function* sendWholeAnswer(
    exchange: HttpExchange,
    execution: ChatExecution,
    identity: CompletionIdentity,
): TaskGenerator<ExchangeEnd> {
    const texts: string[] = [];
    for (;;) {
        const event = yield* take(execution.answers);
        if (event?.kind === AnswerEventKind.Tokens) {
            texts.push(...event.batch.texts);
        } else if (event?.kind === AnswerEventKind.Finished) {
            const answer = { text: texts.join(""), reason: event.reason, usage: event.usage };
            sendJson(exchange.response, 200, buildCompletion(identity, answer));
            return { outputTokens: texts.length };
        } else {
            const failure =
                event?.failure ??
                createFailure(FailureKind.Internal, "The execution ended without an outcome.", {
                    execution: Execution.Unknown,
                });
            sendFailure(exchange.response, failure, exchange.requestId);
            return { failure, outputTokens: texts.length };
        }
    }
}
