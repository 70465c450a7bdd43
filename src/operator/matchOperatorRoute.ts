/**
 * @module Finds the query or command of a request.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import { OPERATOR_PATH_PREFIX } from "./constants";
import type { OperatorRoute } from "./operatorRoute";

/** A route with the open parts of its path. */
export interface MatchedOperatorRoute {
    readonly route: OperatorRoute;
    readonly pathParameters: readonly string[];
}

/**
 * Finds the route of a request.
 *
 * @param routes - All routes
 * @param method - HTTP method
 * @param path - Path without query, still percent-encoded
 * @returns The route, or `NotFound`, `MethodNotAllowed` or `InvalidText`
 * @example
 * matchOperatorRoute(routes, "GET", "/operator/v1/classes/digest");
 */
export function matchOperatorRoute(
    routes: readonly OperatorRoute[],
    method: string,
    path: string,
): Result<MatchedOperatorRoute, Failure> {
    const segments = path.split("/");
    const samePath = routes.filter(route => isMatch(splitPath(route), segments));
    const route = samePath.find(candidate => candidate.method === method);
    if (route === undefined) {
        return err(
            samePath.length > 0
                ? createFailure(FailureKind.MethodNotAllowed, `This path does not take ${method}.`)
                : createFailure(FailureKind.NotFound, "There is nothing at this path."),
        );
    }
    const open = segments.filter((_segment, index) => splitPath(route)[index]?.startsWith(":"));
    return decodeSegments(open).map(pathParameters => ({ route, pathParameters }));
}

function splitPath(route: OperatorRoute): readonly string[] {
    return `${OPERATOR_PATH_PREFIX}${route.path}`.split("/");
}

function isMatch(pattern: readonly string[], segments: readonly string[]): boolean {
    return (
        pattern.length === segments.length &&
        pattern.every((part, index) => (part.startsWith(":") ? segments[index] !== "" : part === segments[index]))
    );
}

function decodeSegments(segments: readonly string[]): Result<readonly string[], Failure> {
    try {
        return ok(segments.map(segment => decodeURIComponent(segment)));
    } catch {
        return err(createFailure(FailureKind.InvalidText, "The path is not valid percent-encoded UTF-8."));
    }
}
