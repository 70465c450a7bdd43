/**
 * @module The tables of the page.
 */
import { estimateRoles, Resource, type RoleRow } from "./estimateRoles";
import { estimatePlatform, estimateTable, type StoreRow } from "./estimateStore";
import { estimateWorstDays } from "./estimateWorstDays";
import { NODE_BOUNDS, STORE_BOUNDS } from "./designSize";
import type { Figure, Figures } from "./figures";
import { formatValue, type Term } from "./term";

const BYTES_PER_MEBIBYTE = 2 ** 20;
const MICROS_PER_PERCENT = 10_000;

/**
 * Builds all generated tables.
 *
 * @param figures - The measured figures
 * @returns Markdown by the name of the table
 * @example
 * buildTables(readFigures())["bounds"];
 */
export function buildTables(figures: Figures): Readonly<Record<string, string>> {
    const roles = estimateRoles(figures);
    const table = estimateTable(figures);
    return {
        bounds: buildBounds(figures, roles, table),
        roles: formatTable(
            ["role", "quantity", "derived by", "value"],
            roles.map(row => [row.role, row.what, row.term.text, `${formatValue(row.term.value)} ${row.resource}`]),
        ),
        store: formatTable(
            ["what", "carried by", "reads/s", "writes/s"],
            [...table, ...estimatePlatform()].map(row => [
                row.what,
                `\`${row.carriedBy}\``,
                formatTerm(row.reads),
                formatTerm(row.writes),
            ]),
        ),
        "worst-days": formatTable(
            ["day", "quantity", "derived by", "value"],
            estimateWorstDays(figures).map(row => [
                row.day,
                row.what,
                row.term.text,
                `${formatValue(row.term.value)} ${row.unit}`,
            ]),
        ),
        measured: formatTable(
            [
                "figure",
                "what",
                "value ± standard error",
                "fixed part ± standard error",
                "measured from",
                "group",
                "load",
            ],
            Object.entries(figures).map(([name, figure]) => buildMeasured(name, figure)),
        ),
    };
}

function buildBounds(figures: Figures, roles: readonly RoleRow[], table: readonly StoreRow[]): string {
    const control = roles.filter(row => row.isControl);
    const sum = (resource: Resource) =>
        control.filter(row => row.resource === resource).reduce((total, { term }) => total + term.value, 0);
    const idlePercent = (figures["idleProcessor"]?.value ?? Number.NaN) / MICROS_PER_PERCENT;
    const idleMebibytes = (figures["idleResident"]?.value ?? Number.NaN) / BYTES_PER_MEBIBYTE;
    const reads = table.reduce((total, row) => total + (row.reads?.value ?? 0), 0);
    const writes = table.reduce((total, row) => total + (row.writes?.value ?? 0), 0);
    const lines = [
        [
            "a node's processor time for control, with one version move, on the node that plans the fleet",
            "`idleProcessor` + all control rows below",
            idlePercent + sum(Resource.CorePercent),
            NODE_BOUNDS.corePercent,
            Resource.CorePercent,
        ],
        [
            "a node's memory, without streams",
            "`idleResident` + all control rows below",
            idleMebibytes + sum(Resource.Mebibytes),
            NODE_BOUNDS.mebibytes,
            Resource.Mebibytes,
        ],
        [
            "a node's bytes for control",
            "all control rows below",
            sum(Resource.BytesPerSecond),
            NODE_BOUNDS.bytesPerSecond,
            Resource.BytesPerSecond,
        ],
        ["writes to the table, all nodes", "table of the store below", writes, STORE_BOUNDS.writesPerSecond, "/s"],
        ["reads of the table, all nodes", "table of the store below", reads, STORE_BOUNDS.readsPerSecond, "/s"],
    ] as const;
    return formatTable(
        ["what", "derived by", "value", "bound", "headroom or shortfall"],
        lines.map(([what, by, value, bound, unit]) => [
            what,
            by,
            `${formatValue(value)} ${unit}`,
            `${formatValue(bound)} ${unit}`,
            formatRoom(value, bound),
        ]),
    );
}

function formatRoom(value: number, bound: number): string {
    if (!Number.isFinite(value)) {
        return "not measured";
    }
    return value <= bound
        ? `headroom ${formatValue((100 * (bound - value)) / bound)}%`
        : `**shortfall**: ${formatValue(value / bound)} times the bound`;
}

function formatTerm(term: Term | undefined): string {
    return term === undefined ? "" : `${term.text} = ${formatValue(term.value)}`;
}

function buildMeasured(name: string, figure: Figure): readonly string[] {
    const fixed = figure.fixed === undefined ? "" : `${formatValue(figure.fixed)}${formatError(figure.fixedError)}`;
    const points = figure.points?.map(([x, y]) => `${formatValue(x)}: ${formatValue(y)}`).join("; ") ?? "";
    const value = `${formatValue(figure.value)}${formatError(figure.standardError)} ${figure.unit}`;
    return [`\`${name}\``, figure.what, value, fixed, points, figure.group, String(figure.machineLoad)];
}

function formatError(error: number | undefined): string {
    return error === undefined ? "" : ` ± ${formatValue(error)}`;
}

function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [head, head.map(() => "---"), ...rows];
    return lines.map(cells => `| ${cells.join(" | ")} |`).join("\n");
}
