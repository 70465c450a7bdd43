/**
 * @module Accepting a chat completion as a durable job.
 */
import { waitFor } from "../base/csp";
import type { ChatRequest, RequestContext } from "../model/request";
import { endWithFailure } from "./_lib/endWithFailure";
import { sendJson } from "../http/sendJson";
import { buildJobBody } from "./buildJobBody";
import type { CallerDependencies } from "./callerDependencies";
import type { ExchangeHandler, HttpExchange } from "./httpExchange";

/**
 * Submits a job and answers 202 once it is durable.
 *
 * @param dependencies - The handles it uses
 * @param exchange - The exchange to answer
 * @param context - The request's context
 * @param chat - The request
 * @returns How the exchange ended
 * @example
 * return yield* handleJobSubmission(dependencies, exchange, context, chat);
 */
export function* handleJobSubmission(
    dependencies: CallerDependencies,
    exchange: HttpExchange,
    context: RequestContext,
    chat: ChatRequest,
): ReturnType<ExchangeHandler> {
    const submitted = yield* waitFor(dependencies.jobs.submitJob(context, chat));
    if (submitted.isErr()) {
        return endWithFailure(exchange, submitted.error, context.className);
    }
    sendJson(exchange.response, 202, buildJobBody(submitted.value), {
        location: `/v1/jobs/${submitted.value.jobId}`,
        "preference-applied": "respond-async",
    });
    return { className: context.className };
}
