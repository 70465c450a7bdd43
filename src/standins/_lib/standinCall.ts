/**
 * @module Calls to stand-ins and their replies.
 */
import type http from "node:http";

/** A call that a stand-in received whole. */
export interface StandinCall {
    readonly method: string;
    /** Decoded path without the query. */
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: Buffer;
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    /** True once the connection carries nothing any more although it is open. */
    isSilent(): boolean;
}

/** A reply: JSON, or bytes where the body is a buffer. */
export interface StandinReply {
    readonly status: number;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Handles a call; gives no reply where it has written to the response itself. */
export type StandinHandler = (call: StandinCall) => StandinReply | undefined | Promise<StandinReply | undefined>;

/** One route: the first whose method and path prefix match handles the call. */
export interface StandinRoute {
    /** Absent: any method. */
    readonly method?: string;
    readonly path: string;
    readonly handle: StandinHandler;
}
