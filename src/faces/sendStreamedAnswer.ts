/**
 * @module Answers streamed to the caller as server-sent events.
 */
import { take, type TaskGenerator } from "../base/csp";
import { createFailure } from "../base/createFailure";
import { Execution, type Failure, FailureKind } from "../base/failure";
import { type AnswerEvent, AnswerEventKind, type ChatExecution } from "../tasks/execution/executionClient";
import { WriteResult, writeWithBackPressure } from "./_lib/writeWithBackPressure";
import { buildFailureBody } from "../http/buildFailureBody";
import { buildChunk, buildUsageChunk, type CompletionIdentity } from "./completionBodies";
import { SLOW_READER_TIMEOUT_MS } from "./constants";
import type { ExchangeEnd, HttpExchange } from "./httpExchange";
import { sendFailure } from "../http/sendFailure";

/** What a streamed answer needs beside the execution. */
export interface StreamOptions {
    readonly includesUsage: boolean;
}

/**
 * Streams an answer. Headers go out with the first event, so a failure before any token has its own HTTP status; a later
 * one is sent as an error event, and no `[DONE]` follows it.
 *
 * @param exchange - The exchange to answer
 * @param execution - The request being executed
 * @param identity - What all chunks share
 * @param options - Whether token counts end the stream
 * @returns How the exchange ended
 * @example
 * return yield* sendStreamedAnswer(exchange, execution, identity, { includesUsage: false });
 */
export function* sendStreamedAnswer(
    exchange: HttpExchange,
    execution: ChatExecution,
    identity: CompletionIdentity,
    options: StreamOptions,
): TaskGenerator<ExchangeEnd> {
    let outputTokens = 0;
    for (;;) {
        const event = (yield* take(execution.answers)) ?? createLostAnswer();
        if (event.kind === AnswerEventKind.Failed) {
            return yield* endStreamWithFailure(exchange, event.failure, outputTokens);
        }
        const written = yield* writeWithBackPressure(
            exchange.response,
            openStream(exchange, identity) + formatEvent(event, identity, options),
            SLOW_READER_TIMEOUT_MS,
        );
        if (written !== WriteResult.Written) {
            execution.cancel();
            exchange.response.destroy();
            return { failure: createReaderFailure(written), outputTokens };
        }
        if (event.kind === AnswerEventKind.Finished) {
            exchange.response.end();
            return { outputTokens };
        }
        outputTokens += event.batch.texts.length;
    }
}

function openStream(exchange: HttpExchange, identity: CompletionIdentity): string {
    if (exchange.response.headersSent) {
        return "";
    }
    exchange.response.writeHead(200, {
        "content-type": "text/event-stream; charset=utf-8",
        "cache-control": "no-cache",
        "x-accel-buffering": "no",
    });
    return formatData(buildChunk(identity, { role: "assistant", content: "" }));
}

function formatEvent(
    event: Exclude<AnswerEvent, { kind: AnswerEventKind.Failed }>,
    identity: CompletionIdentity,
    options: StreamOptions,
): string {
    if (event.kind === AnswerEventKind.Tokens) {
        return formatData(buildChunk(identity, { content: event.batch.texts.join("") }));
    }
    const usage = options.includesUsage ? formatData(buildUsageChunk(identity, event.usage)) : "";
    return `${formatData(buildChunk(identity, {}, event.reason))}${usage}data: [DONE]\n\n`;
}

function formatData(body: object): string {
    return `data: ${JSON.stringify(body)}\n\n`;
}

function* endStreamWithFailure(
    exchange: HttpExchange,
    failure: Failure,
    outputTokens: number,
): TaskGenerator<ExchangeEnd> {
    if (!exchange.response.headersSent) {
        sendFailure(exchange.response, failure, exchange.requestId);
        return { failure, outputTokens };
    }
    const text = formatData(buildFailureBody(failure, exchange.requestId));
    yield* writeWithBackPressure(exchange.response, text, SLOW_READER_TIMEOUT_MS);
    exchange.response.end();
    return { failure, outputTokens };
}

function createLostAnswer(): AnswerEvent {
    const failure = createFailure(FailureKind.Internal, "The execution ended without an outcome.", {
        execution: Execution.Unknown,
    });
    return { kind: AnswerEventKind.Failed, failure };
}

function createReaderFailure(result: WriteResult): Failure {
    return result === WriteResult.CallerTooSlow
        ? createFailure(FailureKind.CallerTooSlow, "The caller read too slowly.", { execution: Execution.Ran })
        : createFailure(FailureKind.CallerGone, "The caller left.", { execution: Execution.Ran });
}
