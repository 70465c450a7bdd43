/**
 * @module `npm run soak -- --seed N --minutes M`: real node processes under faults, every answer checked.
 */
import fs from "node:fs";
import { parseArgs } from "node:util";
import { createHttpCloud } from "../../src/adapters/httpCloud/createHttpCloud";
import { createRandom } from "../../src/base/createRandom";
import { createEmbeddedPlatform, type EmbeddedPlatform } from "../../src/dev/createEmbeddedPlatform";
import { DEPLOYMENT_PRESETS, type DeploymentPreset, PresetName } from "../../src/dev/deploymentPreset";
import { installBenchConfiguration } from "../_lib/installBenchConfiguration";
import { type CallerOptions, submitPosting, runJob, streamAnswer } from "./soakCallers";
import { makeFaults } from "./soakChaos";
import { createSoakLedger, type SoakLedger, Told } from "./soakLedger";
import { createSoakNode, type SoakNode } from "./soakNode";

const ACCOUNT_KEY = "rwl_soak";
const NODE_COUNT = 5;
const STREAM_CALLERS = 20;
const POSTING_CALLERS = 3;
const JOB_CALLERS = 3;
const PAUSE_BETWEEN_CALLS_MS = 200;
const JOB_END_WAIT_MS = 100_000;
const MS_PER_MINUTE = 60_000;

const preset = DEPLOYMENT_PRESETS[PresetName.Derwent];

function buildPreset(): DeploymentPreset {
    const posting = { ...preset.classes[0]!, name: "posting", isIdempotent: false, latencyTargetMs: 5_000 };
    const classes = [{ ...preset.classes[0]!, latencyTargetMs: 10_000, deadlineMs: 60_000 }, posting];
    return { ...preset, classes };
}

function checkPostings(embedded: EmbeddedPlatform, ledger: SoakLedger): void {
    const runners = [...embedded.applicationRunners.values()];
    for (const [key, told] of ledger.postings) {
        const executions = runners.reduce((sum, runner) => sum + runner.countExecutions(key), 0);
        const isWrong =
            executions > 1 ||
            (told === Told.NotRun && executions !== 0) ||
            (told === Told.Succeeded && executions !== 1) ||
            (told === Told.Ran && executions !== 1);
        if (isWrong) {
            ledger.violations.push(`posting ${key}: told ${told}, executed ${executions} times`);
        }
    }
}

function checkJobs(ledger: SoakLedger): void {
    for (const [id, status] of ledger.jobs) {
        if (status !== "succeeded" && status !== "failed" && status !== "cancelled") {
            ledger.violations.push(`job ${id}: still ${status} after its deadline`);
        }
    }
}

function summarize(ledger: SoakLedger, nodes: readonly SoakNode[]): object {
    const countBy = (values: Iterable<string>) => {
        const counts: Record<string, number> = {};
        for (const value of values) {
            counts[value] = (counts[value] ?? 0) + 1;
        }
        return counts;
    };
    return {
        faults: Object.fromEntries(ledger.tried),
        streams: Object.fromEntries(ledger.streams),
        postings: countBy(ledger.postings.values()),
        jobs: countBy(ledger.jobs.values()),
        brokenInvariants: nodes.flatMap(node => node.breaches),
        violations: ledger.violations,
    };
}

async function main(): Promise<void> {
    const { values } = parseArgs({
        options: { seed: { type: "string", default: "1" }, minutes: { type: "string", default: "2" } },
    });
    const random = createRandom(Number(values.seed));
    const ledger = createSoakLedger();
    const embedded = await createEmbeddedPlatform(preset, {
        seed: Number(values.seed),
        modelRunner: { engine: { tokenGapMs: 20 } },
        platform: { vmListLagMs: 1_000, vmStartMs: 1_000 },
    });
    fs.mkdirSync("reports", { recursive: true });
    const logFile = fs.createWriteStream("reports/soak.log");
    const log = (line: string) => void logFile.write(`${new Date().toISOString()} ${line}\n`);
    const regions = preset.placements.map(placement => placement.region);
    await installBenchConfiguration(embedded.platform, buildPreset(), ACCOUNT_KEY);
    const nodes = await Promise.all(
        Array.from({ length: NODE_COUNT }, (_unused, index) =>
            createSoakNode({
                nodeId: `node-${index + 1}`,
                region: regions[index % regions.length]!,
                platformUrl: embedded.platformUrl,
                operatorKey: "rwl_soak_operator",
                handleLine: line => log(`node-${index + 1} ${line}`),
            }),
        ),
    );
    await Promise.all(nodes.map(node => node.start()));
    nodes.forEach(node => embedded.platform.addVm(node.describeVm()));

    const endMs = performance.now() + Number(values.minutes) * MS_PER_MINUTE;
    const isOver = () => performance.now() >= endMs;
    const callers: CallerOptions = {
        ledger,
        accountKey: ACCOUNT_KEY,
        pickNode: () => {
            const serving = nodes.filter(node => node.isServing);
            return serving.length === 0 ? undefined : serving[random.drawInteger(0, serving.length - 1)];
        },
    };
    const repeat = async (count: number, run: (label: string) => Promise<void>) => {
        await Promise.all(
            Array.from({ length: count }, async (_unused, caller) => {
                for (let turn = 0; !isOver(); turn++) {
                    await run(`${caller}-${turn}`);
                    await new Promise(resolve => setTimeout(resolve, PAUSE_BETWEEN_CALLS_MS));
                }
            }),
        );
    };
    const cloud = createHttpCloud(embedded.platform);
    const jobsEndMs = endMs + JOB_END_WAIT_MS;
    await Promise.all([
        repeat(STREAM_CALLERS, label => streamAnswer(callers, label)),
        repeat(POSTING_CALLERS, label => submitPosting(callers, `posting-${label}`)),
        repeat(JOB_CALLERS, label => runJob(callers, label, () => performance.now() >= jobsEndMs)),
        makeFaults({ random, ledger, embedded, nodes, cloud, regions, log }, isOver),
    ]);
    checkPostings(embedded, ledger);
    checkJobs(ledger);
    await Promise.all(nodes.map(node => node.stop("SIGKILL")));
    cloud.dispose();
    embedded.dispose();
    const summary = summarize(ledger, nodes);
    fs.writeFileSync("reports/soak.json", JSON.stringify(summary, undefined, 4));
    process.stdout.write(`${JSON.stringify(summary, undefined, 4)}\n`);
    const isHeld = ledger.violations.length === 0 && nodes.every(node => node.breaches.length === 0);
    process.stdout.write(`${isHeld ? "held" : "NOT held"}: seed ${values.seed}, ${values.minutes} minutes\n`);
    process.exit(isHeld ? 0 : 1);
}

await main();
