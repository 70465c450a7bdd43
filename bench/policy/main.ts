/**
 * @module The policy benchmark: `tsx bench/policy/main.ts --seed N [--report FILE.json] [--sizes a,b] [--loads x,y]`.
 *
 * Simulates admission and routing against baselines and exits with 1 when a target is missed.
 */
import fs from "node:fs";
import { parseArgs } from "node:util";
import Table from "cli-table3";
import { BASELINES } from "./baselines";
import { measureCapacity } from "./measureCapacity";
import { measureDecision } from "./measureDecision";
import { OWN_POLICY } from "./ownPolicy";
import { CLUSTER_SIZES, SCENARIOS } from "./settings";
import { simulateCluster } from "./simulate";
import { type RunFigures, summarizeRun } from "./summarize";

const INSIDE_TARGET = 0.95;
const OVERLOAD_GOODPUT = 0.9;
const DECISION_MICROSECONDS = 50;

interface Run extends RunFigures {
    readonly size: string;
    readonly scenario: string;
    readonly policy: string;
}

interface Check {
    readonly name: string;
    readonly value: number;
    readonly holds: boolean;
}

main();

function main(): void {
    const { values } = parseArgs({
        options: {
            seed: { type: "string", default: "1" },
            report: { type: "string" },
            sizes: { type: "string" },
            loads: { type: "string" },
        },
    });
    const seed = Number(values.seed);
    const isWanted = (list: string | undefined, name: string) => list === undefined || list.split(",").includes(name);
    const runnerCapacity = measureCapacity(seed);
    const decision = measureDecision(seed);
    const runs: Run[] = [];
    for (const size of CLUSTER_SIZES.filter(({ name }) => isWanted(values.sizes, name))) {
        for (const scenario of SCENARIOS.filter(({ name }) => isWanted(values.loads, name))) {
            for (const policy of [OWN_POLICY, ...BASELINES]) {
                const result = simulateCluster({ size, scenario, policy, seed, runnerCapacity });
                const names = { size: size.name, scenario: scenario.name, policy: policy.name };
                runs.push({ ...names, ...summarizeRun(result, size.measuredMs) });
            }
        }
    }
    const checks = [...checkRuns(runs), checkDecision(decision.meanMicroseconds)];
    printRuns(runs);
    print(`one runner serves ${runnerCapacity.toFixed(1)} requests a second; seed ${seed}`);
    print(
        `decision over 640 candidates: mean ${decision.meanMicroseconds.toFixed(1)} us, ` +
            `p99 ${decision.p99Microseconds.toFixed(1)} us`,
    );
    checks.forEach(({ name, value, holds }) => print(`${holds ? "met   " : "MISSED"} ${name}: ${value.toFixed(3)}`));
    if (values.report !== undefined) {
        const report = { seed, runnerCapacity, decision, runs, checks };
        fs.writeFileSync(values.report, `${JSON.stringify(report, undefined, 4)}\n`);
    }
    process.exitCode = checks.every(check => check.holds) ? 0 : 1;
}

function checkRuns(runs: readonly Run[]): readonly Check[] {
    const own = runs.filter(run => run.policy === OWN_POLICY.name);
    return own.flatMap(run => {
        if (run.scenario === "1.0" || run.scenario === "wave") {
            const name = `${run.size}, ${run.scenario}: admitted inside target, at least ${INSIDE_TARGET}`;
            return [{ name, value: run.insideTarget, holds: run.insideTarget >= INSIDE_TARGET }];
        }
        const full = own.find(other => other.size === run.size && other.scenario === "1.0");
        if (run.scenario !== "1.5" || full === undefined) {
            return [];
        }
        const value = run.goodput / full.goodput;
        const name = `${run.size}: goodput at 1.5 over that at 1.0, at least ${OVERLOAD_GOODPUT}`;
        return [{ name, value, holds: value >= OVERLOAD_GOODPUT }];
    });
}

function checkDecision(value: number): Check {
    const name = `decision in microseconds, under ${DECISION_MICROSECONDS}`;
    return { name, value, holds: value < DECISION_MICROSECONDS };
}

function printRuns(runs: readonly Run[]): void {
    const table = new Table({
        head: [
            "size",
            "load",
            "policy",
            "admitted",
            "inside",
            "p95 ms",
            "p99 ms",
            "goodput",
            "recomputed",
            "cost",
            "small",
            "large",
        ],
        style: { head: [], border: [] },
    });
    for (const run of runs) {
        table.push([
            run.size,
            run.scenario,
            run.policy,
            `${((100 * run.admitted) / run.arrived).toFixed(1)}%`,
            `${(100 * run.insideTarget).toFixed(1)}%`,
            run.firstTokenP95Ms.toFixed(0),
            run.firstTokenP99Ms.toFixed(0),
            run.goodput.toFixed(1),
            run.recomputedTokens,
            run.costMicrosPerAnswer.toFixed(0),
            run.worstSmallServed.toFixed(2),
            run.largeServed.toFixed(2),
        ]);
    }
    print(table.toString());
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}
