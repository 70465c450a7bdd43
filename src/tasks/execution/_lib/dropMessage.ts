/**
 * @module Discards control messages that arrive after the end of a request.
 */
import { type ChatRun, ControlKind, type ControlMessage } from "./chatRun";
import { cancelRoute } from "./cancelRoute";

/**
 * Discards a message. If it holds a route, routing is told that the attempt will not be made, since it has counted it.
 *
 * @param run - The request
 * @param message - The message
 * @example
 * dropMessage(run, message);
 */
export function dropMessage(run: ChatRun, message: ControlMessage): void {
    if (message.kind === ControlKind.RouteChosen && message.route.isOk()) {
        cancelRoute(run, message.id, message.route.value);
    }
    if (message.kind === ControlKind.CacheMoved && message.moved.isOk()) {
        cancelRoute(run, message.id, message.moved.value.route);
    }
}
