/**
 * @module What routing must know of an attempt.
 */
import { CHAT_ROUTE } from "../constants";
import type { AttemptId } from "../../../model/request";
import type { RouteQuery } from "../../routing/routingClient";
import type { ChatRun } from "./chatRun";

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
