/**
 * @module One HTTP request with its response, as the handlers of the callers' face see it.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { TaskGenerator } from "../base/csp";
import type { Failure } from "../base/failure";
import type { Account } from "../model/configuration";

/** What a handler works on. */
export interface HttpExchange {
    readonly requestId: string;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly url: URL;
    /** Parts of the path that the route left open, for example a job id. */
    readonly pathParameters: readonly string[];
    readonly account: Account;
    /** Monotonic milliseconds at which the request's headers had arrived. */
    readonly receivedAtMs: number;
    /** Becomes aborted when the caller's connection closes before the response has ended. */
    readonly callerGone: AbortSignal;
}

/** How a handler ended, for logs and metrics. */
export interface ExchangeEnd {
    readonly className?: string;
    readonly failure?: Failure;
    readonly outputTokens?: number;
}

/** Serves one exchange. It sends a response always, also for a failure. */
export type ExchangeHandler = (exchange: HttpExchange) => TaskGenerator<ExchangeEnd>;
