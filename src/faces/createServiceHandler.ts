/**
 * @module `/services/{name}/…`: calls to application runners.
 */
import type { IncomingHttpHeaders } from "node:http";
import { waitFor } from "../base/csp";
import { createFailure } from "../base/createFailure";
import { FailureKind } from "../base/failure";
import { ServiceKind } from "../model/configuration";
import type { ServiceResponse } from "../ports/applicationRunner";
import { endWithFailure } from "./_lib/endWithFailure";
import { readBody } from "../http/readBody";
import { buildRequestContext } from "./buildRequestContext";
import type { CallerDependencies } from "./callerDependencies";
import type { ExchangeHandler, HttpExchange } from "./httpExchange";

// Headers of one connection, and those addressed to this system, are not passed on.
const KEPT_BACK_HEADERS: ReadonlySet<string> = new Set([
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "prefer",
    "proxy-authenticate",
    "proxy-authorization",
    "redwinglift-class",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/**
 * Creates the handler of calls to application runners.
 *
 * @param dependencies - The handles it uses
 * @returns The handler; its path parameters are the service name and the rest of the path
 * @example
 * const handler = createServiceHandler(dependencies);
 */
export function createServiceHandler(dependencies: CallerDependencies): ExchangeHandler {
    return function* (exchange) {
        const body = yield* waitFor(readBody(exchange.request, dependencies.limits));
        if (body.isErr()) {
            return endWithFailure(exchange, body.error);
        }
        const configuration = dependencies.configuration.readCurrent();
        const context = buildRequestContext(exchange.request.headers, exchange.account, configuration, exchange);
        if (context.isErr()) {
            return endWithFailure(exchange, context.error);
        }
        const [serviceName = "", path = ""] = exchange.pathParameters;
        const service = Object.hasOwn(configuration.services, serviceName)
            ? configuration.services[serviceName]
            : undefined;
        if (service?.kind !== ServiceKind.Application) {
            const message = `There is no application service named ${JSON.stringify(serviceName)}.`;
            const failure = createFailure(FailureKind.UnknownService, message);
            return endWithFailure(exchange, failure, context.value.className);
        }
        const call = {
            serviceName,
            method: exchange.request.method ?? "GET",
            path: `/${path}${exchange.url.search}`,
            headers: filterHeaders(exchange.request.headers),
            body: body.value,
        };
        const execution = dependencies.execution.callService(context.value, call, exchange.callerGone);
        const answer = yield* waitFor(execution);
        if (answer.isErr()) {
            return endWithFailure(exchange, answer.error, context.value.className);
        }
        sendAnswer(exchange, answer.value);
        return { className: context.value.className };
    };
}

function filterHeaders(headers: IncomingHttpHeaders): Readonly<Record<string, string>> {
    const kept = Object.entries(headers).filter(
        ([name, value]) => value !== undefined && !KEPT_BACK_HEADERS.has(name.toLowerCase()),
    );
    return Object.fromEntries(kept.map(([name, value]) => [name, String(value)]));
}

function sendAnswer(exchange: HttpExchange, answer: ServiceResponse): void {
    if (exchange.response.headersSent || exchange.response.destroyed) {
        return;
    }
    exchange.response.writeHead(answer.status, {
        ...filterHeaders(answer.headers),
        "content-length": answer.body.length,
    });
    exchange.response.end(answer.body);
}
