/**
 * @module Asking routing for an endpoint while the request's other events go on.
 */
import { CHAT_ROUTE } from "../constants";
import type { AttemptId } from "../../../model/request";
import type { RouteQuery } from "../../routing/routingClient";
import { type AttemptPurpose, type ChatRun, ControlKind } from "./chatRun";
import { sendControl } from "./sendControl";

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

/**
 * Creates the identity of the next attempt.
 *
 * @param run - The request
 * @returns An identity that no earlier attempt of the request had
 * @example
 * const id = createAttemptId(run);
 */
export function createAttemptId(run: ChatRun): AttemptId {
    run.attemptNumber++;
    return { requestId: run.context.requestId, attempt: run.attemptNumber };
}

/**
 * Builds what routing must know of an attempt.
 *
 * @param run - The request
 * @param id - The attempt
 * @returns The query; its prompt is the prompt with the answer so far
 * @example
 * routing.chooseEndpoint(buildChatQuery(run, id));
 */
export function buildChatQuery(run: ChatRun, id: AttemptId): RouteQuery {
    const leaving = [...run.live.values()].map(attempt => attempt.endpoint.endpointId);
    return {
        id,
        context: run.context,
        serviceName: run.chat.model,
        route: CHAT_ROUTE,
        prefixHashes: run.prompt.prefixHashes,
        promptTokens: run.prompt.promptTokens + run.delivered.length,
        maximumTokens: Math.max(1, run.chat.maximumTokens - run.delivered.length),
        excludedEndpointIds: [...new Set([...run.excludedEndpointIds, ...leaving])],
    };
}
