/**
 * @module Sends a stand-in's reply.
 */
import type { StandinCall, StandinReply } from "./standinCall";

/**
 * Sends a reply, with the call's `x-request-id` echoed.
 *
 * @param call - The call that is answered
 * @param reply - Status, headers and body
 * @example
 * sendReply(call, { status: 200, body: { ok: true } });
 */
export function sendReply(call: StandinCall, reply: StandinReply): void {
    const { response } = call;
    if (response.headersSent || response.destroyed) {
        return;
    }
    const body = Buffer.isBuffer(reply.body) ? reply.body : Buffer.from(JSON.stringify(reply.body ?? {}));
    const requestId = call.headers["x-request-id"];
    response.writeHead(reply.status, {
        "content-type": Buffer.isBuffer(reply.body) ? "application/octet-stream" : "application/json",
        "content-length": body.length,
        ...(typeof requestId === "string" ? { "x-request-id": requestId } : {}),
        ...reply.headers,
    });
    response.end(body);
}
