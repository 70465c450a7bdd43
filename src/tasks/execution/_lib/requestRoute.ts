/**
 * @module Requests routes without blocking the request's other events.
 */
import { type AttemptPurpose, type ChatRun, ControlKind } from "./chatRun";
import { sendControl } from "./sendControl";
import { createAttemptId } from "./createAttemptId";
import { buildChatRouteQuery } from "./buildChatRouteQuery";

/**
 * Requests a route; the answer arrives as a control message. Does nothing while another request for a route is pending.
 *
 * @param run - The request
 * @param purpose - Why the attempt is made
 * @example
 * requestRoute(run, AttemptPurpose.First);
 */
export function requestRoute(run: ChatRun, purpose: AttemptPurpose): void {
    if (run.routing !== undefined) {
        return;
    }
    run.retryAtMs = undefined;
    const id = createAttemptId(run);
    run.routing = { id, purpose };
    void run.shared.dependencies.routing
        .chooseEndpoint(buildChatRouteQuery(run, id))
        .then(route => sendControl(run, { kind: ControlKind.RouteChosen, id, purpose, route }));
}
