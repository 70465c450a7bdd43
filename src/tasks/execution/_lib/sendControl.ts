/**
 * @module Sends control messages to the task of a chat request.
 */
import { sendMessage } from "../../../base/csp";
import type { ChatRun, ControlMessage } from "./chatRun";
import { dropMessage } from "./dropMessage";

/**
 * Sends a message to the task of a chat request. After the end of the request the message is discarded.
 *
 * @param run - The request
 * @param message - The message
 * @example
 * sendControl(run, { kind: ControlKind.Cancelled });
 */
export function sendControl(run: ChatRun, message: ControlMessage): void {
    if (run.end === undefined) {
        void sendMessage(run.control, message);
    } else {
        dropMessage(run, message);
    }
}
