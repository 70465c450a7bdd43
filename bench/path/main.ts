/**
 * @module `npm run bench:path`: what a node adds to a direct connection to the same runner stand-ins.
 */
import { createHash } from "node:crypto";
import fs from "node:fs";
import { DEPLOYMENT_PRESETS, type DeploymentPreset, PresetName } from "../../src/dev/deploymentPreset";
import { installBenchConfiguration } from "../_lib/installBenchConfiguration";
import { readProcessUsage } from "../_lib/readProcessUsage";
import { type StartedProgram, startProgram } from "../_lib/startProgram";
import { type LoadResult, runLoad } from "./runLoad";

interface Stage {
    readonly openStreams: number;
    /** Time between tokens: at 1,000 streams 200 ms make 5,000 tokens a second, about the mean of a node at design size. */
    readonly tokenGapMs: number;
}

const STAGES: readonly Stage[] = [
    { openStreams: 1, tokenGapMs: 28 },
    { openStreams: 100, tokenGapMs: 28 },
    { openStreams: 1_000, tokenGapMs: 200 },
];
const RUN_MS = 10_000;
const TOKENS_PER_ANSWER = 30;
// Many engines, so that none of them queues.
const RUNNERS = 100;
const ACCOUNT_KEY = "rwl_bench";
const SETTLE_MS = 4_000;
const BYTES_PER_MEBIBYTE = 1_048_576;
const BYTES_PER_KIBIBYTE = 1_024;

// Targets of issue 3.
const TARGET_ADDED_MEDIAN_MS = 2;
const TARGET_ADDED_99TH_MS = 10;
const TARGET_RESIDENT_MEBIBYTES = 256;

interface Comparison {
    readonly openStreams: number;
    readonly direct: LoadResult;
    readonly throughNode: LoadResult;
    /** Resident memory of the node before the load. */
    readonly idleBytes: number;
}

interface StandinPorts {
    readonly platform: { readonly address: string; readonly port: number };
    readonly runners: readonly { readonly role: string; readonly port: number }[];
}

async function startStandins(tokenGapMs: number): Promise<StartedProgram> {
    return startProgram("dist/redwinglift-standins", {
        arguments: [
            `--model-runners=${Array.from({ length: RUNNERS }, () => 0).join(",")}`,
            "--application-runners=0",
            "--failure-domains=hobart/hobart",
            `--token-gap-ms=${tokenGapMs}`,
            "--vm-list-lag-ms=0",
        ],
        isReady: line => "platform" in line,
    });
}

async function startNode(ports: StandinPorts): Promise<StartedProgram> {
    const url = `http://${ports.platform.address}:${ports.platform.port}`;
    return startProgram("dist/redwinglift", {
        arguments: [
            "serve",
            "--node-id=bench-node",
            "--vm-id=bench-node-vm",
            "--region=hobart",
            "--failure-domain=hobart",
            "--caller-port=0",
            "--operator-port=0",
            "--node-port=0",
            `--platform-table-url=${url}`,
            `--platform-objects-url=${url}`,
            `--platform-cloud-url=${url}`,
            `--platform-vm-list-url=${url}`,
            "--log-format=json",
        ],
        environment: { REDWINGLIFT_OPERATOR_KEY_HASHES: createHash("sha256").update("bench").digest("hex") },
        isReady: line => line["message"] === "node started",
    });
}

// Targets far above what is measured, so that admission shows its cost and refuses nothing.
function buildPreset(): DeploymentPreset {
    const preset = DEPLOYMENT_PRESETS[PresetName.Small];
    const classes = preset.classes.map(workClass => ({ ...workClass, latencyTargetMs: 30_000, deadlineMs: 120_000 }));
    return { ...preset, classes };
}

async function compare(
    openStreams: number,
    standins: StartedProgram,
    node: StartedProgram,
): Promise<Omit<Comparison, "idleBytes">> {
    const ports = standins.announcement as unknown as StandinPorts;
    const runnerPorts = ports.runners.filter(runner => runner.role === "model_runner").map(runner => runner.port);
    const shared = { openStreams, durationMs: RUN_MS, tokensPerAnswer: TOKENS_PER_ANSWER };
    const direct = await runDirect(shared, runnerPorts, standins.processId);
    const throughNode = await runLoad({
        ...shared,
        target: {
            port: Number(node.announcement["callerPort"]),
            headers: { authorization: `Bearer ${ACCOUNT_KEY}` },
        },
        processId: node.processId,
        label: "node",
    });
    return { openStreams, direct, throughNode };
}

// The direct baseline spreads its streams evenly over the runners, as a caller with perfect knowledge would.
async function runDirect(
    shared: { readonly openStreams: number; readonly durationMs: number; readonly tokensPerAnswer: number },
    runnerPorts: readonly number[],
    processId: number,
): Promise<LoadResult> {
    const used = runnerPorts.slice(0, Math.min(runnerPorts.length, shared.openStreams));
    const results = await Promise.all(
        used.map((port, index) =>
            runLoad({
                ...shared,
                openStreams: Math.ceil(shared.openStreams / used.length),
                target: { port, headers: {} },
                processId,
                label: `direct-${index}`,
            }),
        ),
    );
    const mean = (pick: (result: LoadResult) => number) => sum(results.map(pick)) / results.length;
    const total = (pick: (result: LoadResult) => number) => sum(results.map(pick));
    return {
        firstTokenMedianMs: mean(result => result.firstTokenMedianMs),
        firstToken99thMs: mean(result => result.firstToken99thMs),
        requestsPerSecond: total(result => result.requestsPerSecond),
        tokensPerSecond: total(result => result.tokensPerSecond),
        cores: mean(result => result.cores),
        residentBytes: mean(result => result.residentBytes),
        completed: total(result => result.completed),
        failed: total(result => result.failed),
        problems: results.flatMap(result => result.problems),
    };
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function findMisses(comparisons: readonly Comparison[]): readonly string[] {
    return comparisons.flatMap(({ openStreams, direct, throughNode }) => {
        const addedMedian = throughNode.firstTokenMedianMs - direct.firstTokenMedianMs;
        const added99th = throughNode.firstToken99thMs - direct.firstToken99thMs;
        const checks = [
            { isMissed: throughNode.failed > 0, text: `${throughNode.failed} streams cut at ${openStreams}` },
            {
                isMissed: openStreams === 100 && addedMedian >= TARGET_ADDED_MEDIAN_MS,
                text: `added median ${addedMedian.toFixed(2)} ms at 100 streams`,
            },
            {
                isMissed: openStreams === 100 && added99th >= TARGET_ADDED_99TH_MS,
                text: `added 99th ${added99th.toFixed(2)} ms at 100 streams`,
            },
            {
                isMissed: throughNode.residentBytes >= TARGET_RESIDENT_MEBIBYTES * BYTES_PER_MEBIBYTE,
                text: `resident ${Math.round(throughNode.residentBytes / BYTES_PER_MEBIBYTE)} MiB at ${openStreams}`,
            },
        ];
        return checks.filter(check => check.isMissed).map(check => check.text);
    });
}

function formatRow(name: string, openStreams: number, result: LoadResult, idleBytes: number): string {
    const perStream = Math.max(0, result.residentBytes - idleBytes) / openStreams / BYTES_PER_KIBIBYTE;
    return [
        name.padEnd(8),
        String(openStreams).padStart(7),
        result.firstTokenMedianMs.toFixed(2).padStart(10),
        result.firstToken99thMs.toFixed(2).padStart(10),
        result.requestsPerSecond.toFixed(0).padStart(8),
        result.tokensPerSecond.toFixed(0).padStart(9),
        result.cores.toFixed(2).padStart(6),
        (result.tokensPerSecond / Math.max(result.cores, 0.01)).toFixed(0).padStart(13),
        (result.residentBytes / BYTES_PER_MEBIBYTE).toFixed(0).padStart(8),
        perStream.toFixed(0).padStart(11),
        String(result.failed).padStart(5),
    ].join(" ");
}

async function runStage(stage: Stage): Promise<Comparison> {
    const standins = await startStandins(stage.tokenGapMs);
    const ports = standins.announcement as unknown as StandinPorts;
    await installBenchConfiguration(ports.platform, buildPreset(), ACCOUNT_KEY);
    const node = await startNode(ports);
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    const idleBytes = readProcessUsage(node.processId).residentBytes;
    const comparison = await compare(stage.openStreams, standins, node);
    await Promise.all([node.stop("SIGKILL"), standins.stop("SIGKILL")]);
    return { ...comparison, idleBytes };
}

async function main(): Promise<void> {
    const print = (line: string) => void process.stdout.write(`${line}\n`);
    print("target   streams  median ms   99th ms    req/s  tokens/s  cores tokens/s/core  RSS MiB  KiB/stream  cut");
    const comparisons: Comparison[] = [];
    for (const stage of STAGES) {
        const comparison = await runStage(stage);
        const { openStreams, direct, throughNode, idleBytes } = comparison;
        comparisons.push(comparison);
        print(formatRow("direct", openStreams, direct, direct.residentBytes));
        print(formatRow("node", openStreams, throughNode, idleBytes));
        [...direct.problems, ...throughNode.problems].forEach(problem => print(`  ${problem}`));
    }
    fs.mkdirSync("reports", { recursive: true });
    fs.writeFileSync("reports/path.json", JSON.stringify({ comparisons }, undefined, 4));
    const misses = findMisses(comparisons);
    misses.forEach(miss => print(`target missed: ${miss}`));
    process.exitCode = misses.length === 0 ? 0 : 1;
}

await main();
