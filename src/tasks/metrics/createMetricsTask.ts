/**
 * @module The task that sets the gauges of a node periodically.
 */
import { closeChannel, createChannel, offerMessage, superviseTask, take } from "../../base/csp";
import type { Clock } from "../../base/clock";
import type { Disposable } from "../../base/disposableStore";
import type { Failure } from "../../base/failure";
import { Metric } from "../../base/metrics/metric";
import type { Metrics } from "../../base/metrics/metrics";
import { type Configuration, MoveState } from "../../model/configuration";
import type { RevisionExchange } from "../../nodes/revisionExchange";
import type { ConfigurationClient } from "../configuration/configurationClient";
import type { DirectoryClient } from "../directory/directoryClient";
import { collectGauges } from "./collectGauges";

const DEFAULT_PERIOD_MS = 10_000;

/** Dependencies of the metrics task. */
export interface MetricsTaskOptions {
    readonly metrics: Metrics;
    readonly clock: Clock;
    readonly configuration: ConfigurationClient;
    readonly directory: DirectoryClient;
    readonly nodes: Pick<RevisionExchange, "listRevisions">;
    readonly countOpenRequests: () => number;
    /** Bytes sent to other nodes since the start. */
    readonly countSentBytes: () => number;
    readonly reportFailure: (name: string, failure: Failure) => void;
    /** Interval at which the gauges are set, in milliseconds (default: 10,000). */
    readonly periodMs?: number;
}

/**
 * Starts the task. It also counts version moves that end and bytes sent to other nodes, and measures the event-loop
 * delay as how late its own timer fires.
 *
 * @param options - Sources of the values and where to report them
 * @returns A handle that stops the task when disposed
 * @example
 * owned.add(createMetricsTask({ metrics, clock, configuration, directory, nodes, countOpenRequests, reportFailure }));
 */
export function createMetricsTask(options: MetricsTaskOptions): Disposable {
    const { metrics, clock, configuration } = options;
    const periodMs = options.periodMs ?? DEFAULT_PERIOD_MS;
    const ticks = createChannel<{ readonly atMs: number }>(1);
    const timer = setInterval(() => offerMessage(ticks, { atMs: clock.readMonotonicMs() }), periodMs).unref();
    let before = configuration.readCurrent();
    const release = configuration.subscribeApplied(after => {
        countEndedMoves(metrics, before, after);
        before = after;
    });
    let isDisposed = false;
    const body = function* () {
        let lastMs = clock.readMonotonicMs();
        let lastSentBytes = options.countSentBytes();
        for (let tick = yield* take(ticks); tick !== undefined; tick = yield* take(ticks)) {
            if (isDisposed) {
                return;
            }
            metrics.recordTime(Metric.EventLoopDelay, Math.max(0, tick.atMs - lastMs - periodMs));
            lastMs = tick.atMs;
            const sentBytes = options.countSentBytes();
            metrics.count(Metric.ExchangeBytes, {}, sentBytes - lastSentBytes);
            lastSentBytes = sentBytes;
            setGauges(options);
        }
    };
    void superviseTask("metrics", body, { clock, reportFailure: options.reportFailure });
    return {
        dispose: () => {
            isDisposed = true;
            clearInterval(timer);
            release();
            closeChannel(ticks);
        },
    };
}

function setGauges(options: MetricsTaskOptions): void {
    const samples = collectGauges({
        configuration: options.configuration.readCurrent(),
        nodes: options.nodes.listRevisions(),
        vms: options.directory.listVms(),
        openRequests: options.countOpenRequests(),
        residentBytes: process.memoryUsage.rss(),
    });
    samples.forEach(({ metric, value, tags }) => options.metrics.setGauge(metric, value, tags));
}

function countEndedMoves(metrics: Metrics, before: Configuration, after: Configuration): void {
    for (const move of Object.values(after.versionMoves)) {
        const earlier = Object.hasOwn(before.versionMoves, move.name) ? before.versionMoves[move.name] : undefined;
        if (earlier?.state === MoveState.Moving && move.state !== MoveState.Moving) {
            metrics.count(Metric.MovesEnded, { service: move.serviceName, outcome: move.state });
        }
    }
}
