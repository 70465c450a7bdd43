/**
 * @module Builds routing queries for attempts of chat requests.
 */
import { CHAT_ROUTE } from "../constants";
import type { AttemptId } from "../../../model/request";
import type { RouteQuery } from "../../routing/routingClient";
import type { ChatRun } from "./chatRun";

/**
 * Builds the routing query of an attempt. It excludes endpoints that failed and those with a running attempt.
 *
 * @param run - The request
 * @param id - The attempt
 * @returns The query; its prompt tokens include the answer delivered so far
 * @example
 * routing.chooseEndpoint(buildChatRouteQuery(run, id));
 */
export function buildChatRouteQuery(run: ChatRun, id: AttemptId): RouteQuery {
    const inUse = [...run.live.values()].map(attempt => attempt.endpoint.endpointId);
    return {
        id,
        context: run.context,
        serviceName: run.chat.model,
        route: CHAT_ROUTE,
        prefixHashes: run.prompt.prefixHashes,
        promptTokens: run.prompt.promptTokens + run.deliveredTexts.length,
        maximumTokens: Math.max(1, run.chat.maximumTokens - run.deliveredTexts.length),
        excludedEndpointIds: [...new Set([...run.excludedEndpointIds, ...inUse])],
    };
}
