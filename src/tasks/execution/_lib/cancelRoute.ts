/**
 * @module Reports routes that are not used to routing.
 */
import type { AttemptId } from "../../../model/request";
import { AttemptReportKind, type RouteDecision } from "../../routing/routingClient";
import type { ChatRun } from "./chatRun";

/**
 * Tells routing that an attempt it has counted will not be made.
 *
 * @param run - The request
 * @param id - The attempt
 * @param route - The endpoint that was chosen for it
 * @example
 * cancelRoute(run, id, route);
 */
export function cancelRoute(run: ChatRun, id: AttemptId, route: RouteDecision): void {
    run.shared.dependencies.routing.recordReport({
        kind: AttemptReportKind.Cancelled,
        id,
        endpointId: route.endpoint.endpointId,
        elapsedMs: 0,
        tokens: 0,
    });
}
