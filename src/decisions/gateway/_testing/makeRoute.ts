/**
 * @module Builds gateway routes for tests.
 */
import { type GatewayRoute, RouteKind } from "../../../model/gateway";

/** Makes an idempotent route with at most two executions; `changes` override its fields. */
export function makeRoute(changes: Partial<GatewayRoute> = {}): GatewayRoute {
    return {
        name: "r-1",
        host: "news.example",
        pathPrefix: "/a/",
        kind: RouteKind.Idempotent,
        timeoutMs: 1_500,
        objectiveMs: 300,
        priority: 2,
        targets: [{ service: "chat", weight: 1 }],
        attemptsMax: 2,
        isAnonymous: false,
        isResumable: false,
        gapTargetMs: 0,
        ...changes,
    };
}
