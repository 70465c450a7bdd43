/**
 * @module `tsx bench/capacity/main.ts [--only GROUP,GROUP] [--page]`: measures what each role of a node costs, writes
 * `bench/capacity/figures.json` and `reports/capacity.json`, and puts the tables into `docs/CAPACITY.md`.
 *
 * `--only` measures these groups and keeps the other figures; `--page` measures nothing.
 */
import fs from "node:fs";
import os from "node:os";
import { buildTables } from "./_lib/buildTables";
import { readFigures, writeFigures } from "./_lib/figureFile";
import type { Figures, NewFigure } from "./_lib/figures";
import { PAGE_FILE, replaceTables } from "./_lib/replaceTables";
import { measureAdmission } from "./measureAdmission";
import { measureConfiguration } from "./measureConfiguration";
import { measureDirectory } from "./measureDirectory";
import { measureHolders } from "./measureHolders";
import { measureMembership } from "./measureMembership";
import { measurePath } from "./measurePath";
import { measureRouting } from "./measureRouting";
import { measureStore } from "./measureStore";
import { measureWatching } from "./measureWatching";
import { measureWorstDays } from "./measureWorstDays";

type Measured = Readonly<Record<string, NewFigure>>;

const REPORT_FILE = "reports/capacity.json";
const GROUPS: Readonly<Record<string, () => Measured | Promise<Measured>>> = {
    path: measurePath,
    admission: measureAdmission,
    routing: measureRouting,
    directory: measureDirectory,
    membership: measureMembership,
    configuration: measureConfiguration,
    store: measureStore,
    holders: measureHolders,
    watching: measureWatching,
    "worst-days": measureWorstDays,
};

void main();

async function main(): Promise<void> {
    for (const group of listGroups()) {
        process.stdout.write(`measuring ${group}\n`);
        const measured = await GROUPS[group]!();
        writeFigures({ ...readFigures(), ...addGroup(measured, group) });
    }
    const figures = readFigures();
    const tables = buildTables(figures);
    fs.mkdirSync("reports", { recursive: true });
    fs.writeFileSync(REPORT_FILE, JSON.stringify({ figures, tables }, undefined, 2));
    fs.writeFileSync(PAGE_FILE, replaceTables(fs.readFileSync(PAGE_FILE, "utf8"), tables));
    process.stdout.write(`${Object.values(tables).join("\n\n")}\n`);
}

function listGroups(): readonly string[] {
    if (process.argv.includes("--page")) {
        return [];
    }
    const index = process.argv.indexOf("--only");
    const names = index < 0 ? Object.keys(GROUPS) : (process.argv[index + 1] ?? "").split(",");
    const unknown = names.filter(name => GROUPS[name] === undefined);
    if (unknown.length > 0) {
        throw new Error(`Unknown groups: ${unknown.join(", ")}. Groups: ${Object.keys(GROUPS).join(", ")}.`);
    }
    return names;
}

function addGroup(measured: Measured, group: string): Figures {
    const machineLoad = Math.round(os.loadavg()[0] ?? 0);
    const entries = Object.entries(measured);
    return Object.fromEntries(entries.map(([name, figure]) => [name, { ...figure, group, machineLoad }]));
}
