/**
 * @module Asking routing for an endpoint while the request's other events go on.
 */
import { type AttemptPurpose, type ChatRun, ControlKind } from "./chatRun";
import { sendControl } from "./sendControl";
import { createAttemptId } from "./createAttemptId";
import { buildChatQuery } from "./buildChatQuery";

/**
 * Asks for an endpoint; the answer comes as a control message. Does nothing while another one is asked for.
 *
 * @param run - The request
 * @param purpose - What the attempt is for
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
    void run.shared.parts.routing
        .chooseEndpoint(buildChatQuery(run, id))
        .then(route => sendControl(run, { kind: ControlKind.RouteChosen, id, purpose, route }));
}
