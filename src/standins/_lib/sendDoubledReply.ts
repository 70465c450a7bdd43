/**
 * @module Replies that are sent twice.
 */
import { sendReply } from "./sendReply";
import type { StandinCall, StandinReply } from "./standinCall";

/**
 * Sends a reply, and its bytes once more on the same connection.
 *
 * @param call - The call that is answered
 * @param reply - The reply
 * @param waitBeforeSecond - Resolves when the second copy is due
 * @example
 * sendDoubledReply(call, { status: 200 }, () => clock.waitMs(10));
 */
export function sendDoubledReply(call: StandinCall, reply: StandinReply, waitBeforeSecond: () => Promise<void>): void {
    const { socket } = call.request;
    const sent: Buffer[] = [];
    const write = socket.write.bind(socket) as (...parts: unknown[]) => boolean;
    const recordWrite = (...parts: unknown[]): boolean => {
        sent.push(
            Buffer.from(parts[0] as string, typeof parts[1] === "string" ? (parts[1] as BufferEncoding) : "utf8"),
        );
        return write(...parts);
    };
    Object.assign(socket, { write: recordWrite });
    call.response.once("finish", () => {
        Object.assign(socket, { write });
        void waitBeforeSecond().then(() => write(Buffer.concat(sent)));
    });
    sendReply(call, reply);
}
