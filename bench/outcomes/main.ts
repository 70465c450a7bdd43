/**
 * @module Measures what becomes of requests under faults: extra load of retries, tokens recomputed in a reclaim wave,
 * writes for each durable job. Ends with status 1 if a target of the project is missed.
 *
 * Usage: npm run bench:outcomes [-- --seed N]
 */
import Table from "cli-table3";
import { measureBrownOut } from "./measureBrownOut";
import { measureJobWrites } from "./measureJobWrites";
import { measureReclaimWave, type WaveScene } from "./measureReclaimWave";

const LARGEST_EXTRA_LOAD = 0.1;
const LARGEST_RECOMPUTED_RATIO = 0.5;
const WAVE_SEEDS = 10;

const PLACES = [
    { name: "Derwent", leavingRunners: 2, survivors: 4, sharingNodes: 8 },
    { name: "Latexboek", leavingRunners: 4, survivors: 9, sharingNodes: 8 },
    { name: "Derwent x20", leavingRunners: 40, survivors: 80, sharingNodes: 8 },
    { name: "Latexboek x20", leavingRunners: 87, survivors: 173, sharingNodes: 8 },
];
const NOTICES_MS = [5_000, 10_000, 30_000];

const PLAIN = { head: [], border: [], compact: true };

const misses: string[] = [];
const seed = readSeed();
process.env["REDWINGLIFT_INVARIANTS"] = "fatal";
print(`seed ${seed}`);
await printBrownOuts();
printWaves();
await printJobWrites();
misses.forEach(miss => print(`MISSED: ${miss}`));
process.exitCode = misses.length === 0 ? 0 : 1;

function print(text: string): void {
    process.stdout.write(`${text}\n`);
}

function readSeed(): number {
    const index = process.argv.indexOf("--seed");
    return index === -1 ? 1 : Number(process.argv[index + 1]);
}

async function printBrownOuts(): Promise<void> {
    const table = new Table({ style: PLAIN, head: ["failing attempts", "policy", "extra load", "answered"] });
    for (const failingShare of [0.05, 0.2, 0.5, 0.9]) {
        const results = await measureBrownOut(failingShare, seed);
        for (const { policy, extraLoad, answered } of results) {
            table.push([formatShare(failingShare), policy, formatShare(extraLoad), formatShare(answered)]);
        }
        const extraLoad = results[1]?.extraLoad ?? 1;
        if (extraLoad > LARGEST_EXTRA_LOAD) {
            misses.push(`retries add ${formatShare(extraLoad)} at ${formatShare(failingShare)} failing attempts`);
        }
    }
    print("\nBrown-out, 2,000 requests\n" + table.toString());
}

function printWaves(): void {
    const head = [
        "place",
        "notice s",
        "streams",
        "always finish",
        "always prefill",
        "transfer at once",
        "planned",
        "planned, no export",
        "shed",
        "ratio",
    ];
    const table = new Table({ style: PLAIN, head });
    for (const place of PLACES) {
        for (const noticeMs of NOTICES_MS) {
            addWave(table, { ...place, noticeMs });
        }
    }
    print("\nTokens recomputed in a wave of one failure domain, mean of 10 seeds\n" + table.toString());
}

function addWave(table: Table.Table, scene: WaveScene): void {
    const results = Array.from({ length: WAVE_SEEDS }, (_unused, index) => measureReclaimWave(scene, seed + index));
    const average = (pick: (result: (typeof results)[number]) => number) =>
        results.reduce((sum, result) => sum + pick(result), 0) / results.length;
    const finish = average(result => result.alwaysFinish);
    const prefill = average(result => result.alwaysPrefill);
    const planned = average(result => result.planned);
    const withoutExport = average(result => result.plannedWithoutExport);
    const ratio = planned === 0 ? 0 : planned / Math.min(finish, prefill);
    const columns = [finish, prefill, average(result => result.transferAtOnce), planned, withoutExport].map(Math.round);
    const shed = average(result => result.shed).toFixed(1);
    table.push([scene.name, scene.noticeMs / 1_000, results[0]?.streams ?? 0, ...columns, shed, ratio.toFixed(2)]);
    if (!(ratio <= LARGEST_RECOMPUTED_RATIO)) {
        misses.push(
            `${scene.name}, ${scene.noticeMs} ms notice: recomputed tokens are ${ratio.toFixed(2)} of the best baseline`,
        );
    }
}

async function printJobWrites(): Promise<void> {
    const table = new Table({
        style: PLAIN,
        head: ["jobs/s", "window ms", "group", "writes/job", "writes/s", "mean commit ms"],
    });
    for (const [jobsPerSecond, windowMs, groupEntries] of [
        [20, 0, 1],
        [20, 25, 128],
        [200, 25, 128],
        [1_000, 25, 128],
    ] as const) {
        const result = await measureJobWrites(jobsPerSecond, windowMs, groupEntries);
        table.push([
            jobsPerSecond,
            windowMs,
            groupEntries,
            result.writesPerJob.toFixed(3),
            result.writesPerSecond.toFixed(1),
            result.meanCommitMs.toFixed(0),
        ]);
    }
    print(
        "\nTransactions of one committing node for jobs accepted and ended, store latency 15 ms\n" + table.toString(),
    );
}

function formatShare(share: number): string {
    return `${(share * 100).toFixed(1)}%`;
}
