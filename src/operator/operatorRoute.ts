/**
 * @module Routes of the operators' listener.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";

/** A request of an operator, after authentication. */
export interface OperatorRequest {
    /** Parts of the path that the route left open, decoded. */
    readonly pathParameters: readonly string[];
    readonly searchParameters: URLSearchParams;
    /** The parsed JSON body of a command; `undefined` for a query and where there is none. */
    readonly body: unknown;
}

/** Serves one request; its value is sent as JSON. */
export type OperatorHandler = (request: OperatorRequest) => Promise<Result<unknown, Failure>>;

/** One query or command. */
export interface OperatorRoute {
    /** Name in logs and metrics. */
    readonly operation: string;
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    /** Path after the common prefix; its segments that begin with a colon are left open. */
    readonly path: string;
    readonly handler: OperatorHandler;
}
