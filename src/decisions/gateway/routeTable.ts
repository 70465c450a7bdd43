/**
 * @module Looks up the route of a request by host and path prefix.
 */
import type { GatewayRoute } from "../../model/gateway";

/** Routes by lower-case host, the longest path prefix first. */
export type RouteTable = ReadonlyMap<string, readonly GatewayRoute[]>;

/**
 * Builds a route table.
 *
 * @param routes - The routes, in any order
 * @returns The table
 * @example
 * const table = buildRouteTable(configuration.routes);
 */
export function buildRouteTable(routes: readonly GatewayRoute[]): RouteTable {
    const table = new Map<string, GatewayRoute[]>();
    for (const route of routes) {
        const host = route.host.toLowerCase();
        table.set(host, [...(table.get(host) ?? []), route]);
    }
    for (const hostRoutes of table.values()) {
        hostRoutes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    return table;
}

/**
 * Finds the route with the longest prefix of the path.
 *
 * @param table - The route table
 * @param host - The Host header; its port is ignored
 * @param target - The request target: path and query
 * @returns The route; `undefined` if none matches
 * @example
 * findRoute(table, "news.example", "/digests/7?full=1")?.name;
 */
export function findRoute(table: RouteTable, host: string, target: string): GatewayRoute | undefined {
    const query = target.indexOf("?");
    const path = query < 0 ? target : target.slice(0, query);
    const hostname = host.toLowerCase().replace(/:\d+$/, "");
    return table.get(hostname)?.find(route => path.startsWith(route.pathPrefix));
}
