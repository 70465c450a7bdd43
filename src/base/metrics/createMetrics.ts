/**
 * @module Sends metrics by hot-shots.
 */
import net from "node:net";
import StatsD from "hot-shots";
import { type Metric, METRIC_DESCRIPTIONS, type MetricTag } from "./metric";
import type { Metrics, MetricTags } from "./metrics";

const PREFIX = "redwinglift.";
/** Fits into one Ethernet frame, so that no datagram is split. */
const DATAGRAM_BYTES = 1_400;
const FLUSH_PERIOD_MS = 1_000;

/** Where metrics go. */
export interface MetricsOptions {
    /** IP number and UDP port of the statsd daemon; without it nothing is sent. */
    readonly target?: { readonly address: string; readonly port: number };
    /** Tags of every metric of this process, for example node and region. */
    readonly commonTags?: Readonly<Record<string, string>>;
    /** Called when sending fails; metrics are lost then, nothing else. */
    readonly reportError?: (error: Error) => void;
}

/**
 * Creates the sender of metrics. Counters and gauges are gathered for a second and sent in one datagram where they fit.
 *
 * @param options - Where to and with which tags
 * @returns The sender; `dispose` sends what is gathered and closes the socket
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
        prefix: PREFIX,
        globalTags: { ...options.commonTags },
        includeDataDogTags: false,
        maxBufferSize: DATAGRAM_BYTES,
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
