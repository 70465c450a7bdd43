/**
 * @module Control messages that come too late.
 */
import { type ChatRun, ControlKind, type ControlMessage } from "./chatRun";
import { dropRoute } from "./dropRoute";

/**
 * Drops a message; an endpoint that was chosen in vain is given back to routing, which has counted the attempt.
 *
 * @param run - The request
 * @param message - The message
 * @example
 * dropMessage(run, message);
 */
export function dropMessage(run: ChatRun, message: ControlMessage): void {
    if (message.kind === ControlKind.RouteChosen && message.route.isOk()) {
        dropRoute(run, message.id, message.route.value);
    }
    if (message.kind === ControlKind.CacheMoved && message.moved.isOk()) {
        dropRoute(run, message.id, message.moved.value.route);
    }
}
