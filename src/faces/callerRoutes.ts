/**
 * @module Which handler serves which path of the callers' face.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import type { CallerDependencies } from "./callerDependencies";
import { createChatCompletionHandler } from "./createChatCompletionHandler";
import { createJobHandlers } from "./createJobHandlers";
import { createModelHandlers } from "./createModelHandlers";
import { createServiceHandler } from "./createServiceHandler";
import type { ExchangeHandler } from "./httpExchange";

/** One route. */
export interface CallerRoute {
    /** Method, or `*` for any. */
    readonly method: string;
    /** Its groups become the path parameters. */
    readonly pattern: RegExp;
    readonly handler: ExchangeHandler;
}

/** A route found for a request. */
export interface MatchedRoute {
    readonly handler: ExchangeHandler;
    readonly pathParameters: readonly string[];
}

/**
 * Builds the table of routes.
 *
 * @param dependencies - The handles that the handlers use
 * @returns The routes
 * @example
 * const routes = buildCallerRoutes(dependencies);
 */
export function buildCallerRoutes(dependencies: CallerDependencies): readonly CallerRoute[] {
    const models = createModelHandlers(dependencies);
    const jobs = createJobHandlers(dependencies);
    return [
        {
            method: "POST",
            pattern: /^\/v1\/chat\/completions$/,
            handler: createChatCompletionHandler(dependencies),
        },
        { method: "GET", pattern: /^\/v1\/models$/, handler: models.list },
        { method: "GET", pattern: /^\/v1\/models\/([^/]+)$/, handler: models.read },
        { method: "GET", pattern: /^\/v1\/jobs$/, handler: jobs.list },
        { method: "GET", pattern: /^\/v1\/jobs\/([^/]+)$/, handler: jobs.read },
        { method: "DELETE", pattern: /^\/v1\/jobs\/([^/]+)$/, handler: jobs.cancel },
        { method: "POST", pattern: /^\/v1\/jobs\/([^/]+)\/cancel$/, handler: jobs.cancel },
        { method: "*", pattern: /^\/services\/([^/]+)(?:\/(.*))?$/, handler: createServiceHandler(dependencies) },
    ];
}

/**
 * Finds the route of a request.
 *
 * @param routes - The table of routes
 * @param method - HTTP method
 * @param path - Path without query
 * @returns The handler and path parameters, or `NotFound` or `MethodNotAllowed`
 * @example
 * matchCallerRoute(routes, "GET", "/v1/models");
 */
export function matchCallerRoute(
    routes: readonly CallerRoute[],
    method: string,
    path: string,
): Result<MatchedRoute, Failure> {
    const samePath = routes.filter(route => route.pattern.test(path));
    const route = samePath.find(candidate => candidate.method === "*" || candidate.method === method);
    if (route === undefined) {
        return err(
            samePath.length > 0
                ? createFailure(FailureKind.MethodNotAllowed, `${path} does not take ${method}.`)
                : createFailure(FailureKind.NotFound, "There is nothing at this path."),
        );
    }
    const groups = route.pattern.exec(path)?.slice(1) ?? [];
    return decodePathParameters(groups).map(pathParameters => ({ handler: route.handler, pathParameters }));
}

function decodePathParameters(groups: readonly (string | undefined)[]): Result<readonly string[], Failure> {
    try {
        // Only whole segments are decoded; the rest of a service path goes on as it came.
        return ok(groups.map((group, index) => (index === 0 ? decodeURIComponent(group ?? "") : (group ?? ""))));
    } catch {
        return err(createFailure(FailureKind.InvalidText, "The path is not valid percent-encoded UTF-8."));
    }
}
