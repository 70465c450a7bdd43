/**
 * @module Finding the route of a request.
 */
import type { GatewayRoute } from "../../model/gateway";

/** Routes by host, the longest prefix first. */
export type RouteTable = ReadonlyMap<string, readonly GatewayRoute[]>;

/**
 * Builds the table of routes.
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
    for (const ofHost of table.values()) {
        ofHost.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    return table;
}

/**
 * Finds the route with the longest prefix that begins the path.
 *
 * @param table - The table of routes
 * @param host - The Host header; its port is ignored
 * @param target - The request target: path and query
 * @returns The route, or `undefined`
 * @example
 * findRoute(table, "news.example", "/digests/7?full=1")?.service;
 */
export function findRoute(table: RouteTable, host: string, target: string): GatewayRoute | undefined {
    const query = target.indexOf("?");
    const path = query < 0 ? target : target.slice(0, query);
    const name = host.toLowerCase().replace(/:\d+$/, "");
    return table.get(name)?.find(route => path.startsWith(route.pathPrefix));
}
