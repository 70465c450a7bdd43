import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { renderReport } from "./renderReport";
import { type ReportSection, type ReportTarget, SeriesStyle } from "./reportSection";

const OPTIONS = { title: "Report", origin: "seed 1" };
const HOSTILE = `<script src="http://example.invalid/x.js">alert('1')</script> & more`;

function createTarget(holds: boolean | undefined): ReportTarget {
    return { name: "first tokens", figure: "97%", target: "at least 95%", holds };
}

function createSection(text: string, targets: readonly ReportTarget[] = []): ReportSection {
    const plot = {
        title: text,
        unit: text,
        categories: [text, "b"],
        series: [
            { name: text, style: SeriesStyle.Bar, values: [1, 2] },
            { name: "limit", style: SeriesStyle.Point, values: [3, undefined] },
            { name: "line", style: SeriesStyle.Line, values: [3, 4] },
        ],
        marks: [{ category: "b", label: text }],
    };
    return { title: text, text, targets, plots: [plot, plot], tables: [{ head: [text], rows: [[text]] }] };
}

describe("a report", () => {
    const page = renderReport([createSection(HOSTILE, [{ ...createTarget(true), name: HOSTILE }])], {
        title: HOSTILE,
        origin: HOSTILE,
    });

    it("loads nothing and runs nothing", () => {
        assert.doesNotMatch(page, /<(script|link|img|iframe|object|embed|image|use|foreignObject)\b/i);
        assert.doesNotMatch(page, /<[^>]*\s(src|href|xlink:href|on\w+)\s*=/i);
        assert.doesNotMatch(page, /@import|url\(\s*['"]?(https?:|\/\/|data:)/i);
        assert.doesNotMatch(page, /animation|@keyframes/i);
    });

    it("shows text as it is, in titles, tables and plots", () => {
        const escaped = page.match(/&lt;script src=/g) ?? [];
        assert.ok(escaped.length >= 8, `${escaped.length} places`);
    });

    it("draws every plot with its values", () => {
        assert.equal((page.match(/<svg\b/g) ?? []).length, 2);
        assert.ok((page.match(/<path\b/g) ?? []).length > 10);
    });

    it("keeps the ids of its plots apart", () => {
        const ids = [...page.matchAll(/\sid="([^"]+)"/g)].map(([, id]) => id);
        assert.equal(new Set(ids).size, ids.length);
    });
});

describe("the verdict", () => {
    const cases = [
        { name: "is green if every target is met", holds: [true, true], verdict: "met", text: "2 of 2 targets met" },
        { name: "is red if one is missed", holds: [true, false, undefined], verdict: "missed", text: "1 missed" },
        { name: "is neither if one was not measured", holds: [true, undefined], verdict: "unknown", text: "1 not" },
        { name: "is neither without targets", holds: [], verdict: "unknown", text: "0 of 0" },
    ];
    for (const { name, holds, verdict, text } of cases) {
        it(name, () => {
            const page = renderReport([createSection("part", holds.map(createTarget))], OPTIONS);
            const line = page.split("\n").find(candidate => candidate.includes('class="verdict')) ?? "";
            assert.ok(line.includes(`class="verdict ${verdict}"`), line);
            assert.ok(line.includes(text), line);
        });
    }

    it("stands above each target with its figure and what it must be", () => {
        const page = renderReport([createSection("part", [createTarget(false)])], OPTIONS);
        assert.match(page, /<td>first tokens<\/td><td>97%<\/td><td>at least 95%<\/td><td class="missed">missed<\/td>/);
    });
});
