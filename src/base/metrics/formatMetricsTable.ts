/**
 * @module Formats the table of `docs/METRICS.md`.
 */
import { Metric, METRIC_DESCRIPTIONS } from "./metric";

/**
 * Formats all metrics as a Markdown table.
 *
 * @returns The lines of the table, including its header
 * @example
 * formatMetricsTable().join("\n");
 */
export function formatMetricsTable(): readonly string[] {
    const rows = Object.values(Metric).map(metric => {
        const { kind, unit, tags, description } = METRIC_DESCRIPTIONS[metric];
        return `| \`redwinglift.${metric}\` | ${kind} | ${unit} | ${tags.join(", ")} | ${description} |`;
    });
    return ["| name | kind | unit | tags | meaning |", "|---|---|---|---|---|", ...rows];
}
