/**
 * @module Logs, metrics and dumps.
 */
import dgram from "node:dgram";
import { once } from "node:events";
import { createLog } from "../../src/base/log/createLog";
import { LogFormat } from "../../src/base/log/log";
import { createMetrics } from "../../src/base/metrics/createMetrics";
import { Metric } from "../../src/base/metrics/metric";
import { createOperatorFakes } from "../../src/operator/_testing/createOperatorFakes";
import { collectDump } from "../../src/queries/collectDump";
import type { NewFigure, Point } from "./_lib/figures";
import { fitFigure } from "./_lib/fitFigure";
import { measureProcessor } from "./_lib/measureProcessor";

const ENTRIES = [100, 400, 1_600, 3_200];

/**
 * Measures what being watched costs.
 *
 * @returns The figures
 * @example
 * await measureWatching();
 */
export async function measureWatching(): Promise<Readonly<Record<string, NewFigure>>> {
    const dumps = ENTRIES.map(entries => [entries, buildDump(entries)] as const);
    const bytes = dumps.map(([entries, dump]): Point => [entries, Buffer.byteLength(JSON.stringify(dump()))]);
    const processor = dumps.map(([entries, dump]): Point => {
        const measured = measureProcessor({ what: "", unit: "µs" }, 5, () => void JSON.stringify(dump()));
        return [entries, measured.value];
    });
    return {
        dumpBytes: fitFigure({ what: "a dump, for each entry", unit: "bytes" }, bytes),
        dumpProcessor: fitFigure({ what: "processor time of a dump, for each entry", unit: "µs" }, processor),
        ...(await measureMetrics()),
    };
}

function buildDump(entries: number): () => unknown {
    const { dependencies } = createOperatorFakes();
    const runners = Array.from({ length: entries }, (_unused, index) => [
        `runner-${index}`,
        { running: index, waiting: 3, cacheUse: 0.5, history: [1, 2, 3, 4], ownInFlight: 3, slots: 32 },
    ]);
    const state = { runners: Object.fromEntries(runners) as Readonly<Record<string, unknown>> };
    const wide = { ...dependencies, listDumpSources: () => [{ name: "routing", dumpState: () => state }] };
    return () => collectDump(wide);
}

async function measureMetrics(): Promise<Readonly<Record<string, NewFigure>>> {
    const socket = dgram.createSocket("udp4");
    socket.bind(0, "127.0.0.1");
    await once(socket, "listening");
    const metrics = createMetrics({ target: { address: "127.0.0.1", port: socket.address().port } });
    let written = 0;
    const log = createLog({ format: LogFormat.Json, write: line => (written += line.length) });
    const fields = { requestId: "01JE0000000000000000000000", class: "digest", outcome: "ok", durationMs: 812 };
    const tags = { class: "digest", outcome: "ok" };
    const figures = {
        logLine: measureProcessor({ what: "processor time of a log line", unit: "µs" }, 10_000, index => {
            log.info("request finished", { ...fields, outputTokens: index });
        }),
        counter: measureProcessor({ what: "processor time of a counter", unit: "µs" }, 10_000, () => {
            metrics.count(Metric.RequestsFinished, tags);
        }),
        timing: measureProcessor({ what: "processor time of a timing", unit: "µs" }, 10_000, index => {
            metrics.recordTime(Metric.FirstTokenTime, index, tags);
        }),
    };
    metrics.dispose();
    socket.close();
    return written > 0 ? figures : {};
}
