/**
 * @module Lists routes on which a new version has too few attempts.
 */
import { OBSERVATIONS_PER_ROUTE, SIGNIFICANT_ROUTE_FRACTION } from "./constants";
import { type CellCounts, Measure } from "./versionEvidence";

/**
 * Lists the routes that carry a significant part of the old version's attempts but have few on the new version. A fault
 * of the new version on one of them could still be undetected.
 *
 * @param cells - Counts summed over all nodes
 * @returns Route names
 * @example
 * listUnseenRoutes([...sumReports(reports).values()]);
 */
export function listUnseenRoutes(cells: readonly CellCounts[]): readonly string[] {
    const oldByRoute = new Map<string, number>();
    const newByRoute = new Map<string, number>();
    for (const cell of cells) {
        addTo(oldByRoute, cell.route, cell.old[Measure.Failures].trials);
        addTo(newByRoute, cell.route, cell.next[Measure.Failures].trials);
    }
    const total = [...oldByRoute.values()].reduce((sum, trials) => sum + trials, 0);
    return [...oldByRoute]
        .filter(([route, trials]) => {
            const isSignificant = trials > 0 && trials >= total * SIGNIFICANT_ROUTE_FRACTION;
            return isSignificant && (newByRoute.get(route) ?? 0) < OBSERVATIONS_PER_ROUTE;
        })
        .map(([route]) => route);
}

function addTo(counts: Map<string, number>, key: string, value: number): void {
    counts.set(key, (counts.get(key) ?? 0) + value);
}
