/**
 * @module A report as one web page that needs nothing else: no script, no other file, no network.
 */
import { renderPlot } from "./renderPlot";
import type { ReportSection, ReportTable, ReportTarget } from "./reportSection";

/** What stands above the sections. */
export interface ReportOptions {
    readonly title: string;
    /** How the figures came about: command, seed, sizes. */
    readonly origin: string;
}

const STYLE = `
body { font: 15px/1.5 sans-serif; color: #24292f; max-width: 940px; margin: 2em auto; padding: 0 1em; }
h2 { margin-top: 2em; border-bottom: 1px solid #d0d7de; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border: 1px solid #d0d7de; padding: 0.25em 0.7em; text-align: left; }
svg { max-width: 100%; height: auto; }
.verdict { font-size: 1.3em; font-weight: bold; padding: 0.6em 1em; border-radius: 6px; color: #fff; }
.met { background: #1a7f37; color: #fff; }
.missed { background: #cf222e; color: #fff; }
.unknown { background: #9a6700; color: #fff; }
`;

const ESCAPES: Readonly<Record<string, string>> = {
    "&": "&amp;",
    "<": "&lt;",
    ">": "&gt;",
    '"': "&quot;",
    "'": "&#39;",
};

/**
 * Renders a report: a verdict, all targets with their figures, then each section with its plots and tables.
 *
 * @param sections - What to show, in order
 * @param options - Title and origin of the figures
 * @returns The page as HTML
 * @example
 * fs.writeFileSync("report.html", renderReport(sections, { title: "Measures", origin: "seed 1" }));
 */
export function renderReport(sections: readonly ReportSection[], options: ReportOptions): string {
    const targets = sections.flatMap(section => section.targets);
    return [
        "<!DOCTYPE html>",
        '<html lang="en">',
        `<head><meta charset="utf-8"><title>${encodeText(options.title)}</title><style>${STYLE}</style></head>`,
        "<body>",
        `<h1>${encodeText(options.title)}</h1>`,
        renderVerdict(targets),
        `<p>${encodeText(options.origin)}</p>`,
        renderTargets(targets),
        ...sections.map(renderSection),
        "</body>",
        "</html>",
        "",
    ].join("\n");
}

function renderVerdict(targets: readonly ReportTarget[]): string {
    const missed = targets.filter(({ holds }) => holds === false).length;
    const unknown = targets.filter(({ holds }) => holds === undefined).length;
    const met = targets.length - missed - unknown;
    const notMeasured = unknown > 0 ? `, ${unknown} not measured` : "";
    const text = `${met} of ${targets.length} targets met, ${missed} missed${notMeasured}`;
    const className = missed > 0 ? "missed" : unknown > 0 || targets.length === 0 ? "unknown" : "met";
    return `<p class="verdict ${className}">${text}</p>`;
}

function renderTargets(targets: readonly ReportTarget[]): string {
    if (targets.length === 0) {
        return "";
    }
    const rows = targets.map(({ name, figure, target, holds }) => {
        const className = holds === undefined ? "unknown" : holds ? "met" : "missed";
        const word = holds === undefined ? "not measured" : className;
        const cells = [name, figure, target].map(text => `<td>${encodeText(text)}</td>`).join("");
        return `<tr>${cells}<td class="${className}">${word}</td></tr>`;
    });
    return `<table><tr><th>target</th><th>figure</th><th>must be</th><th></th></tr>${rows.join("\n")}</table>`;
}

function renderSection(section: ReportSection): string {
    return [
        `<h2>${encodeText(section.title)}</h2>`,
        `<p>${encodeText(section.text)}</p>`,
        ...section.tables.map(renderTable),
        ...section.plots.map(plot => `<div>${renderPlot(plot)}</div>`),
    ].join("\n");
}

function renderTable({ head, rows }: ReportTable): string {
    const renderRow = (cells: readonly string[], tag: string) =>
        `<tr>${cells.map(cell => `<${tag}>${encodeText(cell)}</${tag}>`).join("")}</tr>`;
    return `<table>${renderRow(head, "th")}${rows.map(row => renderRow(row, "td")).join("\n")}</table>`;
}

function encodeText(text: string): string {
    return text.replace(/[&<>"']/g, character => ESCAPES[character] ?? character);
}
