/**
 * @module The polling period of load reports.
 */
import { computeBudgetFactor } from "./_lib/computeBudgetFactor";
import {
    LOAD_REPORT_BYTES,
    LOAD_REPORT_BYTES_PER_SECOND,
    LONGEST_REPORT_PERIOD_MS,
    SHORTEST_REPORT_PERIOD_MS,
} from "./constants";

/**
 * Computes the time between two reads of an endpoint's load report, so that the reads stay within the byte budget.
 *
 * @param endpointCount - Number of endpoints that this node uses
 * @param nodeCount - Number of live nodes
 * @returns Milliseconds
 * @example
 * computeReportPeriod(48, 400); //=> 8400
 */
export function computeReportPeriod(endpointCount: number, nodeCount: number): number {
    const bytesPerSecond = LOAD_REPORT_BYTES_PER_SECOND * computeBudgetFactor(nodeCount);
    const periodMs = (endpointCount * LOAD_REPORT_BYTES * 1_000) / bytesPerSecond;
    return Math.min(LONGEST_REPORT_PERIOD_MS, Math.max(SHORTEST_REPORT_PERIOD_MS, periodMs));
}
