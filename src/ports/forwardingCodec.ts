/**
 * @module The headers of forwarded requests and their answers, as the product sees them.
 */
import type { IncomingHttpHeaders } from "node:http";

/** A part of a prompt that other requests may share. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What the headers of a caller's request say. */
export interface CallerRequestHead {
    /** Identity of this attempt of the caller. */
    readonly requestId: string | undefined;
    /** How long the caller waits, in milliseconds. */
    readonly deadlineMs: number | undefined;
    readonly promptTokens: number | undefined;
    readonly outputTokensMax: number | undefined;
    /** The prompt's parts from its beginning. */
    readonly promptParts: readonly PromptPart[];
    readonly key: string | undefined;
    /** The event after which a stream is to go on. */
    readonly lastEventId: string | undefined;
}

/** What the node itself states in a request to an endpoint. */
export interface EndpointRequestHead {
    /** Header names and values of the caller, alternating, as they were received. */
    readonly rawHeaders: readonly string[];
    readonly endpointId: string;
    readonly remainingMs: number;
    readonly account: string | undefined;
    /** 0 is the most urgent; absent where the endpoint has no priorities. */
    readonly priority: number | undefined;
    readonly lastEventId: string | undefined;
    /** Absent if the request has no body. */
    readonly bodyBytes: number | undefined;
}

/** Load of an endpoint, as it tells it in an answer. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** What the headers of an endpoint's answer say. */
export interface ResponseHead {
    readonly requestId: string | undefined;
    /** True if the endpoint signed the answer. */
    readonly isSealed: boolean;
    /** True if the endpoint states that it did not execute the request. */
    readonly isNotExecuted: boolean;
    /** True if another endpoint than the expected one answered. */
    readonly isMisdirected: boolean;
    /** True if the bytes of the body are not the endpoint's own, for example because they are compressed. */
    readonly isBodyAltered: boolean;
    readonly load: ReportedLoad | undefined;
    /** Time after which the endpoint closes the idle connection, in milliseconds. */
    readonly idleTimeoutMs: number | undefined;
}

/** Reads and writes the headers of one platform. Neither decides anything. */
export interface ForwardingCodec {
    readCallerHead(headers: IncomingHttpHeaders): CallerRequestHead;
    /** Gives the headers for the endpoint as pairs of name and value. */
    buildEndpointHeaders(head: EndpointRequestHead): readonly (readonly [string, string])[];
    readResponseHead(status: number, headers: IncomingHttpHeaders): ResponseHead;
    /** Gives the headers for the caller, without those that concern the connection or the body's length. */
    buildCallerHeaders(rawHeaders: readonly string[]): readonly (readonly [string, string])[];
}
