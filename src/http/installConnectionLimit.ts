/**
 * @module Limits on connections, and typed answers to requests that are no valid HTTP.
 */
import type { Server } from "node:http";
import https from "node:https";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import { buildFailureBody } from "./buildFailureBody";

/** The connections of a listener. */
export interface ConnectionCount {
    count(): number;
}

interface RawRefusal {
    readonly statusLine: string;
    readonly failure: Failure;
}

const REFUSALS_BY_CODE: Readonly<Record<string, RawRefusal>> = {
    HPE_HEADER_OVERFLOW: {
        statusLine: "431 Request Header Fields Too Large",
        failure: createFailure(FailureKind.InvalidRequest, "The headers are too large."),
    },
    ERR_HTTP_REQUEST_TIMEOUT: {
        statusLine: "408 Request Timeout",
        failure: createFailure(FailureKind.CallerTooSlow, "The request took too long to arrive."),
    },
};

const MALFORMED: RawRefusal = {
    statusLine: "400 Bad Request",
    failure: createFailure(FailureKind.InvalidRequest, "The request is not valid HTTP."),
};

const TOO_MANY: RawRefusal = {
    statusLine: "503 Service Unavailable",
    failure: createFailure(FailureKind.TooManyConnections, "This node has too many connections.", {
        retryAfterMs: 1_000,
    }),
};

/**
 * Installs the limit on connections and the answers to malformed requests on a server.
 *
 * @param server - The server
 * @param limit - Most connections at once; a further one is told so and closed
 * @returns The count of connections
 * @example
 * const connections = installConnectionLimit(server, 10_000);
 */
export function installConnectionLimit(server: Server, limit: number): ConnectionCount {
    let open = 0;
    const countConnection = (socket: Socket) => {
        open++;
        socket.once("close", () => open--);
        if (open > limit) {
            socket.on("error", () => undefined);
            sendRawRefusal(socket, TOO_MANY);
        }
    };
    server.on(server instanceof https.Server ? "secureConnection" : "connection", countConnection);
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Duplex) => {
        if (error.code === "ECONNRESET" || !socket.writable) {
            socket.destroy();
            return;
        }
        sendRawRefusal(socket, REFUSALS_BY_CODE[error.code ?? ""] ?? MALFORMED);
    });
    return { count: () => open };
}

function sendRawRefusal(socket: Duplex, refusal: RawRefusal): void {
    const body = JSON.stringify(buildFailureBody(refusal.failure));
    const headers = [
        `HTTP/1.1 ${refusal.statusLine}`,
        "content-type: application/json; charset=utf-8",
        `content-length: ${Buffer.byteLength(body)}`,
        "connection: close",
    ];
    socket.end(`${headers.join("\r\n")}\r\n\r\n${body}`, () => socket.destroy());
}
