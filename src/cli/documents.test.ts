import assert from "node:assert/strict";
import fs from "node:fs";
import path from "node:path";
import { describe, it } from "node:test";
import { formatSettingsTable } from "../settings/formatSettingsTable";
import { ExitCode } from "./exitCode";
import { formatCommandsTable } from "./formatCommandsTable";

function listRows(file: string): readonly string[] {
    const lines = fs.readFileSync(file, "utf8").split("\n");
    return lines.filter(line => line.startsWith("|"));
}

function listCells(file: string): readonly (readonly string[])[] {
    const rows = listRows(file).slice(2);
    return rows.map(row =>
        row
            .split("|")
            .slice(1, -1)
            .map(cell => cell.trim()),
    );
}

function listPages(folder: string): readonly string[] {
    return fs.readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
        const full = path.join(folder, entry.name);
        return entry.isDirectory() ? listPages(full) : entry.name.endsWith(".md") ? [full] : [];
    });
}

describe("the documents", () => {
    it("give every verb of the linter's list once, with one meaning", () => {
        const verbs = JSON.parse(fs.readFileSync("scripts/verbs.json", "utf8")) as readonly string[];
        const cells = listCells("docs/VERBS.md");
        assert.deepEqual(
            cells.map(([verb]) => verb),
            verbs.map(verb => `\`${verb}\``),
        );
        const meanings = cells.map(([, meaning]) => meaning);
        assert.ok(meanings.every(meaning => meaning !== undefined && meaning.length > 10));
        assert.equal(new Set(meanings).size, meanings.length);
    });

    it("keep the verbs in alphabetical order", () => {
        const verbs = JSON.parse(fs.readFileSync("scripts/verbs.json", "utf8")) as readonly string[];
        assert.deepEqual(verbs, [...new Set(verbs)].sort());
    });

    it("give every setting", () => assert.deepEqual(listRows("docs/SETTINGS.md"), formatSettingsTable()));

    it("give every command", () => assert.deepEqual(listRows("docs/CLI.md"), formatCommandsTable()));

    it("give every exit code", () => {
        const codes = listCells("docs/operations/exit-codes.md").map(([code]) => Number(code));
        assert.deepEqual(
            codes,
            Object.values(ExitCode).filter(code => typeof code === "number"),
        );
    });

    it("link to pages that exist", () => {
        const pages = ["README.md", "CONTRIBUTING.md", ...listPages("docs")];
        const broken = pages.flatMap(page => {
            const links = [...fs.readFileSync(page, "utf8").matchAll(/\]\(([^)#:]+)(#[^)]*)?\)/g)];
            const targets = links.map(([, target = ""]) => path.join(path.dirname(page), target));
            return targets.filter(target => !fs.existsSync(target)).map(target => `${page}: ${target}`);
        });
        assert.deepEqual(broken, []);
    });

    it("are all named on the map", () => {
        const map = fs.readFileSync("docs/README.md", "utf8");
        const pages = listPages("docs").filter(page => page !== path.join("docs", "README.md"));
        const missing = pages.filter(page => !map.includes(`(${path.relative("docs", page)})`));
        assert.deepEqual(missing, []);
    });
});
