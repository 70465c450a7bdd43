/**
 * @module Answers requests that are not valid HTTP with a failure body.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import { dropFurtherBytes } from "./dropFurtherBytes";
import { formatRawFailure } from "./formatRawFailure";

/** A response that is written to the socket directly, as there is no parsed request to respond to. */
interface RawFailureResponse {
    readonly statusLine: string;
    readonly failure: Failure;
}

/** A connection with the responses that are still open on it. */
interface AnsweredConnection {
    readonly socket: Socket;
    readonly responses: Set<ServerResponse>;
    /** Set once the connection is no longer read; it is sent after the open responses. */
    lastResponse: RawFailureResponse | undefined;
}

/** Code of Node's `clientError` event when the caller closes its side in the middle of a request. */
const CLOSED_BY_CALLER = "HPE_INVALID_EOF_STATE";

/** Responses by error code of Node's `clientError` event. */
const RESPONSES_BY_ERROR_CODE: Readonly<Record<string, RawFailureResponse>> = {
    HPE_HEADER_OVERFLOW: {
        statusLine: "431 Request Header Fields Too Large",
        failure: createFailure(FailureKind.InvalidRequest, "The request headers are too large."),
    },
    ERR_HTTP_REQUEST_TIMEOUT: {
        statusLine: "408 Request Timeout",
        failure: createFailure(FailureKind.CallerTooSlow, "The request took too long to arrive."),
    },
};

const MALFORMED_REQUEST_RESPONSE: RawFailureResponse = {
    statusLine: "400 Bad Request",
    failure: createFailure(FailureKind.InvalidRequest, "The request is not valid HTTP."),
};

/**
 * Answers what is not valid HTTP or arrives too slowly, after the responses that are open on its connection.
 *
 * @param server - The server
 * @example
 * installErrorResponses(server);
 */
export function installErrorResponses(server: Server): void {
    const connections = new WeakMap<Duplex, AnsweredConnection>();
    server.on("request", ({ socket }: IncomingMessage, response: ServerResponse) => {
        const connection = connections.get(socket) ?? { socket, responses: new Set(), lastResponse: undefined };
        connections.set(socket, connection);
        connection.responses.add(response);
        response.once("close", () => {
            connection.responses.delete(response);
            if (connection.lastResponse !== undefined && !isAnswering(connection) && socket.writable) {
                const { statusLine, failure } = connection.lastResponse;
                socket.write(formatRawFailure(statusLine, failure));
                socket.destroySoon();
            }
        });
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Duplex) => {
        if (error.code === "ECONNRESET" || !socket.writable) {
            socket.destroy();
            return;
        }
        const response = RESPONSES_BY_ERROR_CODE[error.code ?? ""] ?? MALFORMED_REQUEST_RESPONSE;
        const connection = connections.get(socket);
        if (connection === undefined || !isAnswering(connection)) {
            sendRawFailure(socket, response);
        } else if (error.code === CLOSED_BY_CALLER) {
            // As Node does for a caller that closes its side between two requests.
            socket.end();
        } else if (connection.lastResponse === undefined) {
            connection.lastResponse = response;
            dropFurtherBytes(connection.socket);
        }
    });
}

/** Tells whether a response is open to a request that arrived whole, or has begun. */
function isAnswering({ responses }: AnsweredConnection): boolean {
    return [...responses].some(response => response.req.complete || response.headersSent);
}

function sendRawFailure(socket: Duplex, response: RawFailureResponse): void {
    socket.end(formatRawFailure(response.statusLine, response.failure), () => socket.destroy());
}
