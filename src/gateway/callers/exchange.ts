/**
 * @module The request of a caller together with its response.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { MemoryLease } from "../../base/createMemoryBudget";
import type { GatewayRoute } from "../../model/gateway";
import type { CallerRequestHead } from "../../ports/forwardingCodec";

/** An admitted request, from its headers to the last byte of the response. */
export interface GatewayExchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** What the request headers say. */
    readonly head: CallerRequestHead;
    readonly route: GatewayRoute;
    /** Name of the service that the request is forwarded to. */
    readonly service: string;
    /** Name of the account; absent on anonymous routes. */
    readonly account: string | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Regions whose endpoints may get the request; `undefined`: all. An empty list allows none. */
    readonly homeRegions: readonly string[] | undefined;
    readonly body: Buffer;
    /** Where the bytes of its answer are held until they are sent. */
    readonly answerMemory: MemoryLease;
    /** Monotonic time at which the headers had arrived. */
    readonly receivedAtMs: number;
    /** Monotonic time at which the gateway gives up: the earlier of the caller's deadline and the route's timeout. */
    readonly timeoutAtMs: number;
    /** Monotonic time until which the caller waits; without its own deadline, the route's timeout. */
    readonly deadlineAtMs: number;
    /** Version of the configuration by which the request was admitted. */
    readonly configurationVersion: number;
}

/** Tells whether the headers of the request announce a body. */
export function hasBodyHeader({ request }: GatewayExchange): boolean {
    return request.headers["content-length"] !== undefined || request.headers["transfer-encoding"] !== undefined;
}
