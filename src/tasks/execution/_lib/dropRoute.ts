/**
 * @module Giving back an endpoint that was chosen in vain.
 */
import type { AttemptId } from "../../../model/request";
import { AttemptReportKind, type RouteDecision } from "../../routing/routingClient";
import type { ChatRun } from "./chatRun";

/**
 * Tells routing that an attempt it has counted is not made.
 *
 * @param run - The request
 * @param id - The attempt
 * @param route - The endpoint that was chosen for it
 * @example
 * dropRoute(run, id, route);
 */
export function dropRoute(run: ChatRun, id: AttemptId, route: RouteDecision): void {
    run.shared.parts.routing.recordReport({
        kind: AttemptReportKind.Cancelled,
        id,
        endpointId: route.endpoint.endpointId,
        elapsedMs: 0,
        tokens: 0,
    });
}
