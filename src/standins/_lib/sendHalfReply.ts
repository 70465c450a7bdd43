/**
 * @module Replies that break off.
 */
import type { StandinCall, StandinReply } from "./standinCall";

/**
 * Sends the first half of a reply and resets the connection.
 *
 * @param call - The call that is answered
 * @param reply - The reply
 * @example
 * sendHalfReply(call, { status: 200, body: { ok: true } });
 */
export function sendHalfReply(call: StandinCall, reply: StandinReply): void {
    const body = JSON.stringify(reply.body ?? {});
    call.response.writeHead(reply.status, { "content-length": body.length + 1 });
    call.response.write(body.slice(0, Math.ceil(body.length / 2)), () => call.request.socket.destroy());
}
