import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeReport } from "../../decisions/relays/_testing/makeReport";
import { createReportCollector } from "../../decisions/relays/createReportCollector";
import { createSummaryMerger } from "../../decisions/relays/createSummaryMerger";
import type { FleetView, NodeReport } from "../../decisions/relays/news";
import { decodeNews, encodeNews, NewsKind } from "./newsCodec";

const WINDOW_MS = 8_000;
const SENDER = { address: "127.0.0.1", port: 7_600 };

/** Sends a report through its codec. */
function transferReport(report: NodeReport): NodeReport {
    const message = decodeNews(encodeNews({ kind: NewsKind.Report, wantsViews: true, report }), SENDER);
    assert.ok(message?.kind === NewsKind.Report);
    return message.report;
}

function mergeReports(reports: readonly NodeReport[]): FleetView {
    const collector = createReportCollector(WINDOW_MS);
    reports.forEach(report => collector.recordReport(transferReport(report), 0));
    const merger = createSummaryMerger(WINDOW_MS);
    const relay = reports[0] ?? makeReport("a");
    merger.recordSummary({ ...collector.summarize(0), relay, sequence: 1, lostUsage: {} }, 0);
    const view = encodeNews({ kind: NewsKind.View, relay: "a", view: merger.mergeView(0) });
    const message = decodeNews(view, SENDER);
    assert.ok(message?.kind === NewsKind.View);
    return message.view;
}

describe("the arrivals in the news", () => {
    it("reach all nodes as the sum over the nodes that report some", () => {
        const reports = [
            makeReport("a", { arrivals: { chat: 30, code: 2 } }),
            makeReport("b", { arrivals: { chat: 12 } }),
        ];
        assert.deepEqual(mergeReports([...reports, makeReport("c")]).arrivals, { chat: 42, code: 2 });
    });

    // Guards against: a service without admission costs bytes in each message.
    it("take no bytes without admission", () => {
        const measure = (report: NodeReport) => encodeNews({ kind: NewsKind.Report, wantsViews: true, report }).length;
        assert.equal(measure(makeReport("a", { arrivals: {} })), measure(makeReport("a")));
        assert.equal(mergeReports([makeReport("a")]).arrivals, undefined);
    });

    // Guards against: nodes of two versions that drop each other's messages.
    it("cost nothing else where they are malformed or unknown", () => {
        const report = { ...makeReport("a"), arrivals: { chat: "x" } as never };
        const { arrivals, usage } = transferReport(report);
        assert.equal(arrivals, undefined);
        assert.deepEqual(usage, makeReport("a").usage);
    });

    // Guards against: messages that grow with the number of nodes.
    it("take as many bytes with 400 nodes as with 30", () => {
        const measure = (nodes: number) => {
            const reports = Array.from({ length: nodes }, (_none, index) =>
                makeReport(`n-${index}`, { arrivals: { chat: 12 } }),
            );
            return JSON.stringify(mergeReports(reports).arrivals).length;
        };
        assert.ok(measure(400) <= measure(30) + 1);
    });
});
