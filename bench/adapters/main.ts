/**
 * @module What the adapters cost: processor time per token and per commit, against Node's bare `http` in the same run.
 *
 * Run: `npx tsx bench/adapters/main.ts`. The stand-ins run as a process of their own, so that only the client's
 * processor time is counted.
 */
import http from "node:http";
import { createHttpModelRunner } from "../../src/adapters/httpModelRunner/createHttpModelRunner";
import { formatGeneration } from "../../src/adapters/httpModelRunner/formatGeneration";
import { createHttpTable } from "../../src/adapters/httpTable/createHttpTable";
import { receiveMessage } from "../../src/base/csp";
import { type Endpoint, VmRole } from "../../src/model/endpoint";
import { GenerationEventKind } from "../../src/model/request";
import type { GenerationRequest } from "../../src/ports/modelRunner";
import { startProgram } from "../_lib/startProgram";

const TOKENS_PER_STREAM = 100;
const STREAM_COUNTS = [1, 100, 1_000];
const TOKEN_GAP_MS = 20;
const COMMITS = 300;

interface Announcement {
    readonly platform: { readonly address: string; readonly port: number };
    readonly runners: readonly Endpoint[];
}

interface Cost {
    readonly microsPerUnit: number;
    readonly bytesPerStream: number;
    readonly wrong: number;
}

const standins = await startProgram(process.execPath, {
    arguments: [
        ...["--import", "tsx", "src/standins/main.ts", "--model-runners", "0,0,0,0"],
        ...["--token-gap-ms", String(TOKEN_GAP_MS), "--maximum-running", "1000"],
    ],
    isReady: line => "platform" in line,
});
const { platform, runners } = standins.announcement as unknown as Announcement;
const endpoints = runners.filter(runner => runner.role === VmRole.ModelRunner);
const agent = new http.Agent({ keepAlive: true });
const adapter = createHttpModelRunner();
const table = createHttpTable(platform);

print("case", "adapter us/unit", "bare http us/unit", "ratio", "adapter KB/stream", "wrong");
for (const streams of STREAM_COUNTS) {
    await measureStreams(streams, readBare);
    const bare = await measureStreams(streams, readBare);
    const own = await measureStreams(streams, readThroughAdapter);
    report(`tokens, ${streams} streams`, own, bare);
}
await measureCommits(commitBare);
const bareCommits = await measureCommits(commitBare);
await new Promise(resolve => setTimeout(resolve, 1_500));
report(`commits, one after the other`, await measureCommits(commitThroughAdapter), bareCommits);
adapter.dispose();
table.dispose();
agent.destroy();
await standins.stop("SIGTERM");

async function measureStreams(
    streams: number,
    readStream: (endpoint: Endpoint, request: GenerationRequest) => Promise<number>,
): Promise<Cost> {
    global.gc?.();
    const before = process.memoryUsage();
    const startedAt = process.cpuUsage();
    const reading = Array.from({ length: streams }, (_, index) =>
        readStream(endpoints[index % endpoints.length]!, createRequest(`${readStream.name}-${streams}-${index}`)),
    );
    await new Promise(resolve => setTimeout(resolve, (TOKENS_PER_STREAM * TOKEN_GAP_MS) / 2));
    global.gc?.();
    const during = process.memoryUsage();
    const tokens = await Promise.all(reading);
    const used = process.cpuUsage(startedAt);
    return {
        microsPerUnit: (used.user + used.system) / (streams * TOKENS_PER_STREAM),
        bytesPerStream: (during.heapUsed + during.external - before.heapUsed - before.external) / streams,
        wrong: tokens.filter(count => count !== TOKENS_PER_STREAM).length,
    };
}

async function measureCommits(commit: (index: number) => Promise<boolean>): Promise<Cost> {
    const startedAt = process.cpuUsage();
    let wrong = 0;
    for (let index = 0; index < COMMITS; index++) {
        wrong += (await commit(index)) ? 0 : 1;
    }
    const used = process.cpuUsage(startedAt);
    await new Promise(resolve => setTimeout(resolve, 1_500));
    return { microsPerUnit: (used.user + used.system) / COMMITS, bytesPerStream: 0, wrong };
}

function createRequest(requestId: string): GenerationRequest {
    const content = `[tokens:${TOKENS_PER_STREAM}] ${requestId}`;
    const messages = [{ role: "user", content }];
    return {
        id: { requestId, attempt: 1 },
        chat: { model: "assistant", messages, maximumTokens: TOKENS_PER_STREAM, sampling: {} },
        priority: 0,
        resumedTexts: [],
    };
}

async function readThroughAdapter(endpoint: Endpoint, request: GenerationRequest): Promise<number> {
    const { events } = adapter.openGeneration(endpoint, request);
    let tokens = 0;
    for (let event = await receiveMessage(events); event !== undefined; event = await receiveMessage(events)) {
        tokens += event.kind === GenerationEventKind.Tokens ? event.batch.texts.length : 0;
    }
    return tokens;
}

function readBare(endpoint: Endpoint, request: GenerationRequest): Promise<number> {
    return new Promise(resolve => {
        const path = "/v1/chat/completions";
        const options = { host: endpoint.address, port: endpoint.port, method: "POST", path, agent };
        const call = http.request(options, response => {
            let chunks = 0;
            response.on("data", (bytes: Buffer) => {
                chunks += bytes.includes("[DONE]") ? 0 : 1;
            });
            response.on("end", () => resolve(chunks > 0 ? TOKENS_PER_STREAM : 0));
        });
        call.end(formatGeneration(request));
    });
}

async function commitThroughAdapter(index: number): Promise<boolean> {
    const writes = [{ key: `adapter/${index}`, value: "value" }];
    return (await table.commitTransaction({ token: `t${index}`, conditions: [], writes })).isOk();
}

function commitBare(index: number): Promise<boolean> {
    const writes = [{ key: `bare/${index}`, value: "value" }];
    const body = JSON.stringify({ token: `t${index}`, conditions: [], writes });
    return new Promise(resolve => {
        const path = "/table/transactions";
        const options = { host: platform.address, port: platform.port, method: "POST", path, agent };
        const call = http.request(options, response => {
            response.resume();
            response.on("end", () => resolve(response.statusCode === 200));
        });
        call.end(body);
    });
}

function report(name: string, own: Cost, bare: Cost): void {
    const ratio = own.microsPerUnit / bare.microsPerUnit;
    const kilobytes = (own.bytesPerStream / 1_024).toFixed(1);
    print(name, own.microsPerUnit.toFixed(1), bare.microsPerUnit.toFixed(1), ratio.toFixed(2), kilobytes, own.wrong);
}

function print(...cells: readonly (string | number)[]): void {
    process.stdout.write(`${cells.join(" | ")}\n`);
}
