/**
 * @module `/v1/jobs`: reading, listing and cancelling jobs.
 */
import type { Result } from "neverthrow";
import { waitFor } from "../base/csp";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import type { JobView } from "../tasks/jobs/jobClient";
import { endWithFailure } from "./_lib/endWithFailure";
import { sendJson } from "../http/sendJson";
import { buildJobBody } from "./buildJobBody";
import type { CallerDependencies } from "./callerDependencies";
import { DEFAULT_JOB_LIST_LENGTH, LARGEST_JOB_LIST_LENGTH } from "./constants";
import type { ExchangeEnd, ExchangeHandler, HttpExchange } from "./httpExchange";

/** Handlers of the job routes. */
export interface JobHandlers {
    readonly list: ExchangeHandler;
    readonly read: ExchangeHandler;
    readonly cancel: ExchangeHandler;
}

/**
 * Creates the handlers of the job routes.
 *
 * @param dependencies - The handles they use
 * @returns The handlers
 * @example
 * const { list, read, cancel } = createJobHandlers(dependencies);
 */
export function createJobHandlers(dependencies: CallerDependencies): JobHandlers {
    return {
        list: function* (exchange) {
            const limit = Number(exchange.url.searchParams.get("limit") ?? DEFAULT_JOB_LIST_LENGTH);
            if (!Number.isInteger(limit) || limit < 1 || limit > LARGEST_JOB_LIST_LENGTH) {
                const message = `limit must be a whole number from 1 to ${LARGEST_JOB_LIST_LENGTH}.`;
                return endWithFailure(exchange, createFailure(FailureKind.InvalidRequest, message));
            }
            const after = exchange.url.searchParams.get("after") ?? undefined;
            const jobs = yield* waitFor(dependencies.jobs.listJobs(exchange.account.name, { after, limit }));
            if (jobs.isErr()) {
                return endWithFailure(exchange, jobs.error);
            }
            const body = { object: "list", data: jobs.value.map(buildJobBody), has_more: jobs.value.length === limit };
            sendJson(exchange.response, 200, body);
            return {};
        },
        read: function* (exchange) {
            const jobId = exchange.pathParameters[0] ?? "";
            return sendJob(exchange, yield* waitFor(dependencies.jobs.readJob(exchange.account.name, jobId)));
        },
        cancel: function* (exchange) {
            const jobId = exchange.pathParameters[0] ?? "";
            return sendJob(exchange, yield* waitFor(dependencies.jobs.cancelJob(exchange.account.name, jobId)));
        },
    };
}

function sendJob(exchange: HttpExchange, job: Result<JobView, Failure>): ExchangeEnd {
    if (job.isErr()) {
        return endWithFailure(exchange, job.error);
    }
    sendJson(exchange.response, 200, buildJobBody(job.value));
    return { className: job.value.className };
}
