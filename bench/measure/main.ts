/**
 * @module The four measures for both deployments, side by side with the baselines:
 * `tsx bench/measure/main.ts --seed N [--report FILE.html] [--runs N]`.
 *
 * Writes reports/measure.json; ends with status 1 if a target is missed.
 */
import fs from "node:fs";
import { parseArgs } from "node:util";
import Table from "cli-table3";
import { measureCapacity } from "../policy/measureCapacity";
import { SCENARIOS } from "../policy/settings";
import { renderReport } from "../report/renderReport";
import { buildMeasureTable, buildSections } from "./buildSections";
import { SCORE_FORMULA } from "./computeScore";
import { type Deployment, DEPLOYMENTS } from "./deployments";
import { measureMoves } from "./measureMoves";
import { measureServing } from "./measureServing";
import { measureWaves } from "./measureWaves";
import type { Measurement } from "./measurement";
import { summarizePolicies } from "./summarizePolicies";

const JSON_FILE = "reports/measure.json";

main();

function main(): void {
    const { values } = parseArgs({
        options: {
            seed: { type: "string", default: "1" },
            runs: { type: "string", default: "5" },
            report: { type: "string" },
        },
    });
    const seed = Number(values.seed);
    const runs = Number(values.runs);
    const runnerCapacity = measureCapacity(seed);
    const measurements = DEPLOYMENTS.map(deployment => measureDeployment(deployment, seed, runs, runnerCapacity));
    measurements.forEach(printMeasurement);
    print(`\n${SCORE_FORMULA}`);
    print("baselines: the better of finishing and prefilling in a wave; versions moved by the clock, never taken back");
    const sections = measurements.flatMap(buildSections);
    const targets = sections.flatMap(section => section.targets);
    targets.forEach(({ name, figure, target, holds }) =>
        print(`${holds ? "met   " : "MISSED"} ${name}: ${figure}, ${target}`),
    );
    fs.mkdirSync("reports", { recursive: true });
    const report = { seed, runs, runnerCapacity, formula: SCORE_FORMULA, measurements, targets };
    fs.writeFileSync(JSON_FILE, `${JSON.stringify(report, undefined, 4)}\n`);
    if (values.report !== undefined) {
        const origin = `Simulated: bench/measure, seed ${seed}, ${runs} version moves for each kind of fault.`;
        fs.writeFileSync(values.report, renderReport(sections, { title: "redwinglift: the four measures", origin }));
    }
    process.exitCode = targets.every(({ holds }) => holds) ? 0 : 1;
}

function measureDeployment(deployment: Deployment, seed: number, runs: number, runnerCapacity: number): Measurement {
    const serving = measureServing(deployment.size, seed, runnerCapacity);
    const waves = measureWaves(deployment, seed);
    const moves = measureMoves(deployment, seed, runs);
    return {
        deployment,
        serving,
        waves,
        moves,
        policies: summarizePolicies(serving, waves, moves, deployment.weights),
    };
}

function printMeasurement(measurement: Measurement): void {
    const { name, weights } = measurement.deployment;
    const { head, rows } = buildMeasureTable(measurement);
    const table = new Table({ head: [...head], style: { head: [], border: [], compact: true }, wordWrap: true });
    rows.forEach(row => table.push([...row]));
    print(`\n${name}; weights: ${JSON.stringify(weights)}`);
    print(table.toString());
    printCosts(measurement);
}

function printCosts({ serving, policies }: Measurement): void {
    const head = ["cost by load, inside target of admitted, admitted", ...SCENARIOS.map(scenario => scenario.name)];
    const table = new Table({ head, style: { head: [], border: [], compact: true } });
    for (const { policy } of policies) {
        const cells = serving
            .filter(run => run.policy === policy)
            .map(({ costMicrosPerAnswer, insideTarget, admitted, arrived }) =>
                [
                    costMicrosPerAnswer.toFixed(1),
                    `${(insideTarget * 100).toFixed(1)}%`,
                    `${((admitted / arrived) * 100).toFixed(1)}%`,
                ].join(", "),
            );
        table.push([policy, ...cells]);
    }
    print(table.toString());
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}
