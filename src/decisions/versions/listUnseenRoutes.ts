/**
 * @module Routes that a new version has hardly been seen on.
 */
import { OBSERVATIONS_PER_ROUTE, SIGNIFICANT_ROUTE_FRACTION } from "./constants";
import { type CellCounts, Measure } from "./versionEvidence";

/**
 * Lists the routes that carry a part of the old version's attempts that counts, and few of the new one's. A fault on
 * one of them could still be unseen.
 *
 * @param cells - Counts over all nodes
 * @returns Names of routes
 * @example
 * listUnseenRoutes([...sumReports(reports).values()]);
 */
export function listUnseenRoutes(cells: readonly CellCounts[]): readonly string[] {
    const oldByRoute = new Map<string, number>();
    const nextByRoute = new Map<string, number>();
    for (const cell of cells) {
        addTo(oldByRoute, cell.route, cell.old[Measure.Failures].trials);
        addTo(nextByRoute, cell.route, cell.next[Measure.Failures].trials);
    }
    const total = [...oldByRoute.values()].reduce((sum, trials) => sum + trials, 0);
    return [...oldByRoute]
        .filter(([route, trials]) => {
            const counts = trials > 0 && trials >= total * SIGNIFICANT_ROUTE_FRACTION;
            return counts && (nextByRoute.get(route) ?? 0) < OBSERVATIONS_PER_ROUTE;
        })
        .map(([route]) => route);
}

function addTo(counts: Map<string, number>, key: string, value: number): void {
    counts.set(key, (counts.get(key) ?? 0) + value);
}
