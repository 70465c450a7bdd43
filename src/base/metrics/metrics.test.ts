import assert from "node:assert/strict";
import dgram from "node:dgram";
import { once } from "node:events";
import fs from "node:fs";
import { describe, it } from "node:test";
import { createMetrics } from "./createMetrics";
import { formatMetricsTable } from "./formatMetricsTable";
import { Metric, METRIC_DESCRIPTIONS, MetricKind, MetricUnit } from "./metric";

describe("createMetrics", () => {
    it("sends the recorded metrics, with declared tags only, when it is disposed", async () => {
        const socket = dgram.createSocket("udp4");
        socket.bind(0, "127.0.0.1");
        await once(socket, "listening");
        const lines: string[] = [];
        socket.on("message", message =>
            lines.push(
                ...message
                    .toString()
                    .split("\n")
                    .filter(line => line !== ""),
            ),
        );
        const metrics = createMetrics({
            target: { address: "127.0.0.1", port: socket.address().port },
            commonTags: { node: "node-1" },
        });
        metrics.count(Metric.JobsAccepted, { class: "digest", service: "not declared" });
        metrics.count(Metric.JobsAccepted, { class: "digest" }, 2);
        metrics.setGauge(Metric.NodesLive, 7);
        metrics.recordTime(Metric.FirstTokenTime, 812, { class: "digest" });
        metrics.dispose();
        while (lines.length < 3) {
            await once(socket, "message");
        }
        socket.close();
        const find = (metric: Metric) => lines.filter(line => line.startsWith(`redwinglift.${metric}:`));
        assert.equal(find(Metric.JobsAccepted).length, 1, lines.join("\n"));
        assert.match(find(Metric.JobsAccepted)[0]!, /:3\|c\|#/);
        assert.match(find(Metric.JobsAccepted)[0]!, /class:digest/);
        assert.match(find(Metric.JobsAccepted)[0]!, /node:node-1/);
        assert.doesNotMatch(find(Metric.JobsAccepted)[0]!, /service/);
        assert.match(find(Metric.NodesLive)[0]!, /:7\|g/);
        assert.match(find(Metric.FirstTokenTime)[0]!, /:812\|ms/);
    });

    it("opens no socket without a target", () => {
        const before = process.getActiveResourcesInfo().length;
        const metrics = createMetrics({});
        metrics.count(Metric.JobsAccepted);
        metrics.recordTime(Metric.StoreTime, 1);
        assert.equal(process.getActiveResourcesInfo().length, before);
        metrics.dispose();
    });
});

describe("METRICS.md", () => {
    it("lists exactly the metrics in METRIC_DESCRIPTIONS", () => {
        const page = fs.readFileSync("docs/METRICS.md", "utf8");
        const rows = page.split("\n").filter(line => line.startsWith("|"));
        assert.deepEqual(rows, formatMetricsTable());
    });

    it("uses milliseconds for timings and for nothing else", () => {
        const descriptions = Object.values(METRIC_DESCRIPTIONS);
        for (const { kind, unit } of descriptions) {
            assert.equal(kind === MetricKind.Timing, unit === MetricUnit.Milliseconds);
        }
    });
});
