/**
 * @module `redwinglift serve`: one node as a process.
 */
import { Metric, MetricTag } from "../base/metrics/metric";
import { createNodeParts } from "../createNodeParts";
import type { Settings } from "../settings/settings";
import { type RunningNode, wireNode } from "../wire";
import { logStrayErrors } from "./logStrayErrors";
import { writeDumpOnSignal } from "./writeDumpOnSignal";

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Time in which a second signal ends what is in progress, and its failures are sent. */
const END_MS = 2_000;

/** The signals that stop a process, as they arrive. */
interface StopSignals {
    readonly first: Promise<string>;
    readonly second: Promise<string>;
}

/**
 * Runs a node until a signal ends it. `SIGTERM` and `SIGINT` drain it, also while it starts; a second one ends what is in
 * progress with failures. `SIGHUP` changes nothing: files of keys are watched. `SIGUSR2` writes a dump of its state to
 * the standard error stream as one line of JSON.
 *
 * @param settings - Its checked settings
 * @returns The exit code: 0 after a complete drain, 1 if answers were cut
 * @example
 * process.exitCode = await runServe(settings);
 */
export async function runServe(settings: Settings): Promise<number> {
    const signals = watchStopSignals();
    const parts = createNodeParts(settings);
    const { log } = parts;
    logStrayErrors(log, origin => parts.metrics.count(Metric.UnhandledErrors, { [MetricTag.Origin]: origin }));
    process.on("SIGHUP", () => log.info("a signal changes nothing", { signal: "SIGHUP" }));
    const node = await wireNode(settings, parts);
    writeDumpOnSignal(() => node.dumpState());
    log.info("node started", {
        callerPort: node.callerPort,
        operatorPort: node.operatorPort,
        nodeLinkPort: node.nodeLinkPort,
        version: process.env["REDWINGLIFT_VERSION"] ?? "development",
    });
    void node.whenReady.then(() => log.info("node ready", { revision: node.configuration.readCurrent().revision }));
    const signal = await signals.first;
    log.info("node leaving", { signal, drainMs: settings.drainMs });
    const cutRequests = await drainUntilSignal(node, settings.drainMs, signals.second);
    node.dispose();
    parts.dispose();
    log.info("node ended", { cutRequests });
    return cutRequests === 0 ? 0 : 1;
}

function watchStopSignals(): StopSignals {
    const resolvers: ((signal: string) => void)[] = [];
    const waitForNext = () => new Promise<string>(resolve => resolvers.push(resolve));
    const signals = { first: waitForNext(), second: waitForNext() };
    STOP_SIGNALS.forEach(signal => process.on(signal, () => resolvers.shift()?.(signal)));
    return signals;
}

function drainUntilSignal(node: RunningNode, boundMs: number, second: Promise<string>): Promise<number> {
    return new Promise((resolve, reject) => {
        let isEnding = false;
        node.drain(boundMs).then(cut => (isEnding ? undefined : resolve(cut)), reject);
        second
            .then(() => {
                isEnding = true;
                return node.end(END_MS);
            })
            .then(resolve, reject);
    });
}
