/**
 * @module One request of a caller, from its head to its last byte.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { GatewayRoute } from "../model/gateway";
import type { CallerHead } from "../ports/forwardingCodec";

/** A request that was admitted. */
export interface GatewayExchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly head: CallerHead;
    readonly route: GatewayRoute;
    readonly service: string;
    /** Absent on anonymous routes. */
    readonly account: string | undefined;
    readonly priority: number;
    readonly body: Buffer;
    readonly receivedAtMs: number;
    /** Monotonic time by which the caller has its final answer: the earlier of its own deadline and the timeout. */
    readonly timeoutAtMs: number;
    /** Monotonic time until which the caller waits. */
    readonly deadlineAtMs: number;
    /** Version of the configuration that decided. */
    readonly configurationVersion: number;
}
