/**
 * @module Port to the headers of forwarded requests and of their responses, independent of the platform's header names.
 */
import type { IncomingHttpHeaders } from "node:http";

/** A part of a prompt. Prompts that begin with the same parts share a prefix, which an engine may have cached. */
export interface PromptPart {
    /** Equal for equal parts. */
    readonly id: string;
    readonly tokens: number;
}

/** The content of the headers of a caller's request. */
export interface CallerRequestHead {
    /** Id of this attempt of the caller. */
    readonly requestId: string | undefined;
    /** Name of the model that the request needs; absent for a request to a plain service. */
    readonly model: string | undefined;
    /** Time for which the caller waits for the response, in milliseconds. */
    readonly deadlineMs: number | undefined;
    readonly promptTokens: number | undefined;
    readonly outputTokensMax: number | undefined;
    /** The parts of the prompt, in order. */
    readonly promptParts: readonly PromptPart[];
    /** API key of the caller's account. */
    readonly key: string | undefined;
    /** Id of the event after which a stream is to be resumed. */
    readonly lastEventId: string | undefined;
}

/** What the headers of a request to an endpoint are built from. */
export interface EndpointRequestHead {
    /** The caller's headers as received, with names and values alternating. */
    readonly rawHeaders: readonly string[];
    /** The endpoint that is expected to receive the request. */
    readonly endpointId: string;
    /** Time left until the deadline of the request, in milliseconds. */
    readonly remainingMs: number;
    /** `undefined` on anonymous routes. */
    readonly account: string | undefined;
    /** 0 is the most urgent; `undefined` if the endpoint has no priorities. */
    readonly priority: number | undefined;
    /** Id of the event after which a stream is to be resumed. */
    readonly lastEventId: string | undefined;
    /** `undefined` if the request has no body. */
    readonly bodyBytes: number | undefined;
}

/** The load that an endpoint reports in the headers of a response. */
export interface ReportedLoad {
    /** Requests being executed. */
    readonly running: number;
    /** Requests waiting in the endpoint's queue. */
    readonly waiting: number;
    /** Requests that it processes at once. */
    readonly slots: number;
    /** How long work takes on its host at this moment, 100 as usual and 200 twice as long; absent if not reported. */
    readonly pace?: number;
}

/** The content of the headers of an endpoint's response. */
export interface ResponseHead {
    /** Id of the caller's attempt that the response belongs to. */
    readonly requestId: string | undefined;
    /** True if the response carries the seal header, by which an endpoint signs it. */
    readonly isSealed: boolean;
    /** True if the endpoint states that it did not execute the request. */
    readonly isNotExecuted: boolean;
    /** True if the request reached another endpoint than the expected one. */
    readonly isMisdirected: boolean;
    /** True if the bytes of the body are not those that the endpoint sent, for example because they were compressed. */
    readonly isBodyAltered: boolean;
    readonly load: ReportedLoad | undefined;
    /** Time for which an endpoint that refuses the request wants none from this node, in milliseconds. */
    readonly refusedForMs: number | undefined;
    /** True if the endpoint states that it leaves. */
    readonly isLeaving: boolean;
    /** Time for which the endpoint stays cold, in milliseconds; absent if it doesn't say. */
    readonly coldForMs?: number | undefined;
    /** Requests a second that the endpoint takes from all nodes together; `undefined` if it names no limit. */
    readonly requestsPerSecondMax: number | undefined;
    /** Time after which the endpoint closes the idle connection, in milliseconds. */
    readonly idleTimeoutMs: number | undefined;
}

/** Translates between the headers of one platform and these types. Makes no decisions. */
export interface ForwardingCodec {
    /** Reads the headers of a caller's request. */
    readCallerHead(headers: IncomingHttpHeaders): CallerRequestHead;
    /** Builds the headers of a request to an endpoint, as pairs of name and value. */
    buildEndpointHeaders(head: EndpointRequestHead): readonly (readonly [string, string])[];
    /** Reads the headers of an endpoint's response. */
    readResponseHead(status: number, headers: IncomingHttpHeaders): ResponseHead;
    /** Builds the headers of a response to the caller, without hop-by-hop headers and the body's length. */
    buildCallerHeaders(rawHeaders: readonly string[]): readonly (readonly [string, string])[];
}
