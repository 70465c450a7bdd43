/**
 * @module `npx tsx bench/operators/main.ts`: what logs, metrics, dumps and operators' requests cost a node.
 *
 * Each row is compared with a named baseline of the same run.
 */
import dgram from "node:dgram";
import { once } from "node:events";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { formatTable } from "../../src/cli/_lib/formatTable";
import { createOperatorClient } from "../../src/cli/createOperatorClient";
import { createLog } from "../../src/base/log/createLog";
import { LogFormat } from "../../src/base/log/log";
import { createMetrics } from "../../src/base/metrics/createMetrics";
import { Metric } from "../../src/base/metrics/metric";
import { createOperatorFakes, OPERATOR_KEY } from "../../src/operator/_testing/createOperatorFakes";
import { createOperatorListener } from "../../src/operator/createOperatorListener";
import { collectDump } from "../../src/queries/collectDump";

const ROUNDS = 5;
const CALLS = 20_000;
const REQUESTS = 300;
const MICROSECONDS_PER_MS = 1_000;
/** Entries of the largest map that a task shows at the planned size: one for each runner. */
const RUNNERS = 3_200;
/** Requests a second at the peak, spread over the planned nodes. */
const REQUESTS_PER_SECOND_OF_NODE = 6_400 / 400;

interface Row {
    readonly what: string;
    readonly microseconds: number;
    readonly baseline: string;
    readonly baselineMicroseconds: number;
}

/** Median over rounds of the time of one call, in microseconds. */
function measureCalls(call: (index: number) => void): number {
    const times = Array.from({ length: ROUNDS }, () => {
        const startedMs = performance.now();
        for (let index = 0; index < CALLS; index++) {
            call(index);
        }
        return ((performance.now() - startedMs) / CALLS) * MICROSECONDS_PER_MS;
    });
    return times.sort((left, right) => left - right)[Math.floor(ROUNDS / 2)] ?? 0;
}

async function measureRequests(send: () => Promise<unknown>): Promise<number> {
    const times: number[] = [];
    for (let index = 0; index < REQUESTS; index++) {
        const startedMs = performance.now();
        await send();
        times.push((performance.now() - startedMs) * MICROSECONDS_PER_MS);
    }
    return times.sort((left, right) => left - right)[Math.floor(REQUESTS / 2)] ?? 0;
}

function measureLogs(): Row {
    let bytes = 0;
    const log = createLog({ format: LogFormat.Json, write: line => (bytes += line.length) });
    const fields = { requestId: "01JE0000000000000000000000", class: "digest", outcome: "ok", durationMs: 812 };
    const microseconds = measureCalls(index => log.info("request finished", { ...fields, outputTokens: index }));
    const baselineMicroseconds = measureCalls(index => {
        bytes += JSON.stringify({ ...fields, time: new Date().toISOString(), outputTokens: index }).length;
    });
    return { what: "log line", microseconds, baseline: "JSON.stringify", baselineMicroseconds };
}

async function measureMetrics(): Promise<readonly Row[]> {
    const socket = dgram.createSocket("udp4");
    socket.bind(0, "127.0.0.1");
    await once(socket, "listening");
    const on = createMetrics({ target: { address: "127.0.0.1", port: socket.address().port } });
    const off = createMetrics({});
    const tags = { class: "digest", outcome: "ok" };
    const rows = [
        {
            what: "counter",
            microseconds: measureCalls(() => on.count(Metric.RequestsFinished, tags)),
            baseline: "metrics off",
            baselineMicroseconds: measureCalls(() => off.count(Metric.RequestsFinished, tags)),
        },
        {
            what: "timing",
            microseconds: measureCalls(index => on.recordTime(Metric.FirstTokenTime, index, tags)),
            baseline: "metrics off",
            baselineMicroseconds: measureCalls(index => off.recordTime(Metric.FirstTokenTime, index, tags)),
        },
    ];
    on.dispose();
    socket.close();
    return rows;
}

async function measureDump(): Promise<Row> {
    const { dependencies } = createOperatorFakes();
    const runners = Array.from({ length: RUNNERS }, (_runner, index) => [
        `runner-${index}`,
        { running: index, waiting: 3, cacheUse: 0.5, history: [1, 2, 3, 4], apiKey: "x" },
    ]);
    const state = { runners: Object.fromEntries(runners) as Readonly<Record<string, unknown>> };
    const source = { name: "routing", dumpState: () => state };
    const wide = { ...dependencies, listDumpSources: () => [source] };
    const baselineMicroseconds = await measureRequests(() => Promise.resolve(JSON.stringify(state)));
    const microseconds = await measureRequests(() => Promise.resolve(JSON.stringify(collectDump(wide))));
    return { what: `dump of ${RUNNERS} runners`, microseconds, baseline: "JSON.stringify", baselineMicroseconds };
}

async function measureListener(): Promise<readonly Row[]> {
    const { dependencies, options, configuration } = createOperatorFakes();
    const listener = await createOperatorListener(dependencies, options);
    const plain = http.createServer((request, response) => void request.resume().on("end", () => response.end("{}")));
    plain.listen(0, "127.0.0.1");
    await once(plain, "listening");
    const connect = (port: number) => createOperatorClient({ url: `http://127.0.0.1:${port}`, key: OPERATOR_KEY });
    const client = connect(listener.port);
    const plainClient = connect((plain.address() as AddressInfo).port);
    const baselineMicroseconds = await measureRequests(() => plainClient.readQuery("/status"));
    const query = await measureRequests(() => client.readQuery("/status"));
    const value = { kind: "model", version: "v1" };
    const command = await measureRequests(() =>
        client.sendCommand("PUT", "/services/assistant", {
            basedOnRevision: configuration.readCurrent().revision,
            value,
        }),
    );
    listener.dispose();
    plain.close();
    const baseline = "empty HTTP answer";
    return [
        { what: "query (status)", microseconds: query, baseline, baselineMicroseconds },
        { what: "command (set a service)", microseconds: command, baseline, baselineMicroseconds },
    ];
}

function printRows(rows: readonly Row[]): void {
    const cells = rows.map(row => [
        row.what,
        row.microseconds.toFixed(2),
        row.baseline,
        row.baselineMicroseconds.toFixed(2),
        (row.microseconds / row.baselineMicroseconds).toFixed(1),
    ]);
    process.stdout.write(`${formatTable(["what", "µs", "baseline", "baseline µs", "ratio"], cells)}\n`);
    const [log, counter, timing] = rows;
    const perRequest = (log?.microseconds ?? 0) + 2 * (counter?.microseconds ?? 0) + 3 * (timing?.microseconds ?? 0);
    const share = (perRequest * REQUESTS_PER_SECOND_OF_NODE) / 10_000;
    process.stdout.write(
        `one log line, 2 counters and 3 timings a request, ${REQUESTS_PER_SECOND_OF_NODE} requests a second: ` +
            `${share.toFixed(3)}% of a core\n`,
    );
}

const rows = [measureLogs(), ...(await measureMetrics()), await measureDump(), ...(await measureListener())];
printRows(rows);
