/**
 * @module Control messages that come too late.
 */
import type { AttemptId } from "../../../model/request";
import { AttemptReportKind, type Route } from "../../routing/routingClient";
import { type ChatRun, ControlKind, type ControlMessage } from "./chatRun";

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

/**
 * Tells routing that an attempt it has counted is not made.
 *
 * @param run - The request
 * @param id - The attempt
 * @param route - The endpoint that was chosen for it
 * @example
 * dropRoute(run, id, route);
 */
export function dropRoute(run: ChatRun, id: AttemptId, route: Route): void {
    run.shared.parts.routing.recordReport({
        kind: AttemptReportKind.Cancelled,
        id,
        endpointId: route.endpoint.endpointId,
        elapsedMs: 0,
        tokens: 0,
    });
}
