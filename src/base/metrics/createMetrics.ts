/**
 * @module Sends metrics to a statsd daemon through hot-shots.
 */
import net from "node:net";
import StatsD from "hot-shots";
import { type Metric, METRIC_DESCRIPTIONS, type MetricTag } from "./metric";
import type { Metrics, MetricTags } from "./metrics";

const NAME_PREFIX = "redwinglift.";
/** Fits into one Ethernet frame, so that no datagram is fragmented. */
const MAXIMUM_DATAGRAM_BYTES = 1_400;
const FLUSH_PERIOD_MS = 1_000;

/** Options of `createMetrics`. */
export interface MetricsOptions {
    /** IP address and UDP port of the statsd daemon; if absent, no metrics are sent. */
    readonly target?: { readonly address: string; readonly port: number };
    /** Tags added to every metric of this process, for example node and region. */
    readonly commonTags?: Readonly<Record<string, string>>;
    /** Called when sending fails. The metrics are lost; there is no other effect. */
    readonly reportError?: (error: Error) => void;
}

/**
 * Creates a client that sends metrics. Counters and gauges are aggregated for a second, and sent in one datagram if
 * they fit.
 *
 * @param options - The statsd daemon, the common tags and the error callback
 * @returns The client; `dispose` sends the buffered metrics and closes the socket
 * @example
 * const metrics = createMetrics({ target: settings.statsd, commonTags: { node: settings.nodeId } });
 * metrics.count(Metric.JobsAccepted, { class: "digest" });
 */
export function createMetrics(options: MetricsOptions): Metrics {
    const { target } = options;
    if (target === undefined) {
        return {
            count: () => undefined,
            setGauge: () => undefined,
            recordTime: () => undefined,
            dispose: () => undefined,
        };
    }
    const reportError = options.reportError ?? (() => undefined);
    const client = new StatsD({
        host: target.address,
        port: target.port,
        protocol: "udp",
        udpSocketOptions: { type: net.isIPv6(target.address) ? "udp6" : "udp4" },
        prefix: NAME_PREFIX,
        globalTags: { ...options.commonTags },
        includeDataDogTags: false,
        maxBufferSize: MAXIMUM_DATAGRAM_BYTES,
        bufferFlushInterval: FLUSH_PERIOD_MS,
        aggregation: { flushInterval: FLUSH_PERIOD_MS },
        errorHandler: reportError,
    });
    client.socket.unref();
    return {
        count: (metric, tags, by = 1) => client.increment(metric, by, pickTags(metric, tags)),
        setGauge: (metric, value, tags) => client.gauge(metric, value, pickTags(metric, tags)),
        recordTime: (metric, milliseconds, tags) => client.timing(metric, milliseconds, pickTags(metric, tags)),
        dispose: () => client.close(error => error !== undefined && reportError(error)),
    };
}

function pickTags(metric: Metric, tags: MetricTags = {}): Record<string, string> {
    const entries = METRIC_DESCRIPTIONS[metric].tags.map((tag: MetricTag) => [tag, tags[tag]] as const);
    return Object.fromEntries(entries.filter((entry): entry is [MetricTag, string] => entry[1] !== undefined));
}
