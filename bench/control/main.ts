/**
 * @module Measures what nodes spend on acting together: `tsx bench/control/main.ts [--sizes 3,9,27,81] [--skip-failures]`.
 *
 * Each node is a process of its own with mutual TLS on loopback, against the platform stand-in. Deaths, pauses and
 * losses are measured on simulated nodes. Exit status 1 if a target is missed.
 */
import fs from "node:fs";
import os from "node:os";
import path from "node:path";
import Table from "cli-table3";
import { CALL_OVERHEAD_BYTES, CONNECTION_OVERHEAD_BYTES } from "../../src/nodes/_lib/constants";
import { type FailureFigures, measureFailures } from "./measureFailures";
import { measureFraming } from "./measureFraming";
import { measureSize, type SizeFigures } from "./measureSize";
import { buildNodeProgram, writeKeys } from "./startNodes";

const DESIGN_SIZE = 400;
const SMALLEST_FITTED = 9;
const DEFAULT_SIZES = "3,9,27,81";
const FAILURE_SIZES = [9, 27, 81];
const DEATHS = 5;
const REPORT_FILE = "reports/control.json";
const TARGETS: Readonly<Partial<Record<keyof SizeFigures, number>>> = {
    inForceMaximumMs: 10_000,
    knownMaximumMs: 10_000,
    changesMissing: 0,
    idleBytesPerSecond: 5_000,
    floodBytesPerSecond: 5_000,
    floodCpuPercent: 4.5,
    residentMebibytes: 256,
};
/** What a table and its readers can take at the design size, of the platform's reads a second. */
const STORE_READS_TARGET = 1_000;

/** Figures that grow with the number of steps in which news double, thus with the logarithm of the size. */
const LOGARITHMIC: readonly (keyof SizeFigures)[] = [
    "formedMs",
    "inForceMedianMs",
    "inForceMaximumMs",
    "knownMedianMs",
    "knownMaximumMs",
];

await main();

async function main(): Promise<void> {
    const sizes = (readOption("--sizes") ?? DEFAULT_SIZES).split(",").map(Number);
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "redwinglift-control-"));
    try {
        await writeKeys(folder);
        const program = await buildNodeProgram(folder);
        const framing = await measureFraming(folder);
        const figures: SizeFigures[] = [];
        for (const size of sizes) {
            figures.push(await measureSize(program, size));
            print(JSON.stringify(figures.at(-1)));
        }
        const failures: FailureFigures[] = [];
        for (const size of process.argv.includes("--skip-failures") ? [] : FAILURE_SIZES) {
            failures.push(await measureFailures(size, DEATHS));
            print(JSON.stringify(failures.at(-1)));
        }
        const atDesignSize = estimateAll(figures);
        printFigures(figures, atDesignSize);
        printFailures(failures);
        print(
            `a call costs ${framing.bytesPerCallBesideBodies.toFixed(0)} bytes beside its bodies (counted ` +
                `${2 * CALL_OVERHEAD_BYTES}), a connection ${framing.bytesPerConnection.toFixed(0)} (counted ` +
                `${2 * CONNECTION_OVERHEAD_BYTES})`,
        );
        const missed = listMissed(figures, atDesignSize, failures);
        fs.mkdirSync(path.dirname(REPORT_FILE), { recursive: true });
        fs.writeFileSync(
            REPORT_FILE,
            JSON.stringify({ framing, figures, atDesignSize, failures, missed }, undefined, 2),
        );
        missed.forEach(text => print(`missed: ${text}`));
        print(missed.length === 0 ? "all targets met" : `${missed.length} targets missed`);
        process.exitCode = missed.length === 0 ? 0 : 1;
    } finally {
        fs.rmSync(folder, { recursive: true });
    }
}

type Estimates = Partial<Record<keyof SizeFigures, number>>;

/**
 * Fits a line by least squares, over the size or its logarithm, and reads it at the design size. Below
 * `SMALLEST_FITTED` a node's links are fewer than at large sizes.
 */
function estimateAll(figures: readonly SizeFigures[]): Estimates {
    const names = Object.keys(figures[0] ?? {}) as (keyof SizeFigures)[];
    const fitted = figures.filter(figure => figure.nodes >= SMALLEST_FITTED);
    return Object.fromEntries(
        names.map(name => {
            const scale = LOGARITHMIC.includes(name) ? Math.log2 : (size: number) => size;
            const points = fitted.map(figure => [scale(figure.nodes), figure[name] ?? Number.NaN] as const);
            return [name, fitLine(points, scale(DESIGN_SIZE))];
        }),
    );
}

function fitLine(points: readonly (readonly [number, number])[], atX: number): number {
    const count = points.length;
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
    const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    return variance === 0 ? meanY : meanY + (covariance / variance) * (atX - meanX);
}

function listMissed(
    figures: readonly SizeFigures[],
    atDesignSize: Estimates,
    failures: readonly FailureFigures[],
): readonly string[] {
    const columns = [
        ...figures.map(figure => [`${figure.nodes} nodes`, figure] as const),
        [`${DESIGN_SIZE} nodes by slope`, atDesignSize] as const,
    ];
    const missed = columns.flatMap(([label, figure]) =>
        Object.entries(TARGETS)
            .filter(([name, target]) => !((figure[name as keyof SizeFigures] ?? Number.NaN) <= target))
            .map(([name, target]) => `${name} at ${label}: ${figure[name as keyof SizeFigures]} > ${target}`),
    );
    const reads = atDesignSize.storeReadsPerSecond ?? Number.NaN;
    const unformed = figures.filter(figure => figure.formedMs === undefined);
    return [
        ...missed,
        ...unformed.map(figure => `${figure.nodes} nodes never all knew each other`),
        ...(reads <= STORE_READS_TARGET ? [] : [`store reads at ${DESIGN_SIZE} nodes by slope: ${reads}`]),
        ...failures.filter(figure => figure.undetected > 0).map(figure => `undetected deaths at ${figure.nodes} nodes`),
        ...failures.filter(figure => figure.falseDeaths > 0).map(figure => `false deaths at ${figure.nodes} nodes`),
    ];
}

function printFigures(figures: readonly SizeFigures[], atDesignSize: Estimates): void {
    const table = new Table({
        style: { head: [], border: [] },
        head: ["", ...figures.map(figure => `${figure.nodes}`), `${DESIGN_SIZE} by slope`, "target"],
    });
    for (const name of Object.keys(figures[0] ?? {}) as (keyof SizeFigures)[]) {
        const cells = [...figures.map(figure => figure[name]), atDesignSize[name], TARGETS[name]];
        table.push([name, ...cells.map(formatNumber)]);
    }
    print(table.toString());
}

function printFailures(failures: readonly FailureFigures[]): void {
    if (failures.length === 0) {
        return;
    }
    const table = new Table({
        style: { head: [], border: [] },
        head: ["simulated", ...failures.map(figure => `${figure.nodes}`)],
    });
    for (const name of Object.keys(failures[0] ?? {}) as (keyof FailureFigures)[]) {
        table.push([name, ...failures.map(figure => formatNumber(figure[name]))]);
    }
    print(table.toString());
}

function formatNumber(value: number | undefined): string {
    return value === undefined ? "" : value.toFixed(Math.abs(value) < 10 ? 2 : 0);
}

function readOption(name: string): string | undefined {
    const index = process.argv.indexOf(name);
    return index < 0 ? undefined : process.argv[index + 1];
}

function print(text: string): void {
    process.stdout.write(`${text}\n`);
}
