import assert from "node:assert/strict";
import fs from "node:fs";
import { describe, it } from "node:test";
import fc from "fast-check";
import { buildTables } from "./_lib/buildTables";
import { readFigures } from "./_lib/figureFile";
import { fitFigure, fitMean } from "./_lib/fitFigure";
import { PAGE_FILE, replaceTables } from "./_lib/replaceTables";
import { computeProduct, computeQuotient, readFigureAt, sumTerms, takeNumber } from "./_lib/term";

const LABEL = { what: "a line", unit: "µs" };
const isNear = (left: number, right: number) => Math.abs(left - right) <= 1e-6 * Math.max(1, Math.abs(right));

describe("the page on capacity", () => {
    it("shows exactly the tables that the measured figures give", () => {
        const page = fs.readFileSync(PAGE_FILE, "utf8");
        assert.equal(page, replaceTables(page, buildTables(readFigures())));
    });

    it("has a value for every figure that its formulas name", () => {
        const tables = buildTables(readFigures());
        assert.deepEqual(
            Object.entries(tables).filter(([, table]) => /not measured|NaN|Infinity/.test(table)),
            [],
        );
    });

    it("names only files and folders that exist", () => {
        const page = fs.readFileSync(PAGE_FILE, "utf8");
        const named = [...page.matchAll(/`([^`]*)`/g)].flatMap(([, text = ""]) => text.split(", "));
        const paths = named.filter(text => /^(src|bench|docs)\/[\w./]+$/.test(text));
        assert.ok(paths.length > 10);
        assert.deepEqual(
            paths.filter(path => !fs.existsSync(path)),
            [],
        );
    });

    it("refuses tables that it has no place for", () => {
        assert.throws(() => replaceTables("no place", { a: "table" }), /no place for the table a/);
        const page = "x <!-- table: a -->\nold\n<!-- end --> y";
        assert.equal(replaceTables(page, { a: "new" }), "x <!-- table: a -->\n\nnew\n\n<!-- end --> y");
    });
});

describe("fits", () => {
    it("find the line that points lie on, without error", () => {
        fc.assert(
            fc.property(fc.integer({ min: -1_000, max: 1_000 }), fc.integer({ min: -50, max: 50 }), (fixed, slope) => {
                const figure = fitFigure(
                    LABEL,
                    [25, 50, 100, 400].map(x => [x, fixed + slope * x] as const),
                );
                assert.ok(isNear(figure.value, slope) && isNear(figure.fixed ?? Number.NaN, fixed));
                assert.ok((figure.standardError ?? Number.NaN) < 1e-6);
            }),
            { seed: 5, numRuns: 100 },
        );
    });

    it("carry the textbook errors", () => {
        const figure = fitFigure(LABEL, [
            [1, 1],
            [2, 2],
            [3, 3.1],
            [4, 3.9],
        ]);
        // Residuals 0.03, -0.05, 0.07... give s² = 0.009, and 0.009 ÷ 5 is the variance of the slope.
        assert.ok(isNear(figure.value, 0.98));
        assert.ok(isNear(figure.standardError ?? Number.NaN, Math.sqrt(0.009 / 5)));
        assert.ok(isNear(fitMean(LABEL, [2, 4, 6]).standardError ?? Number.NaN, 2 / Math.sqrt(3)));
    });
});

describe("formulas", () => {
    it("are computed as they are written", () => {
        const term = computeQuotient(
            computeProduct(takeNumber(2), sumTerms(takeNumber(1), takeNumber(3))),
            computeProduct(takeNumber(4), takeNumber(8)),
        );
        assert.equal(term.text, "2 × (1 + 3) ÷ (4 × 8)");
        assert.equal(term.value, 0.25);
    });

    it("take the measured point where there is one, and the line elsewhere", () => {
        const figure = { ...LABEL, value: 2, fixed: 10, points: [[100, 333]] as const, group: "g", machineLoad: 1 };
        assert.deepEqual(readFigureAt({ line: figure }, "line", 100), { text: "`line[100]`", value: 333 });
        assert.deepEqual(readFigureAt({ line: figure }, "line", 400), { text: "`line(400)`", value: 810 });
    });
});
