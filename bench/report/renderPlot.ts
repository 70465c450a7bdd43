/**
 * @module One plot as SVG, drawn by echarts without a browser.
 */
import * as echarts from "echarts";
import type { ReportPlot, ReportSeries } from "./reportSection";

const WIDTH_PIXELS = 900;
const HEIGHT_PIXELS = 340;
const LEFT_PIXELS = 70;
const RIGHT_PIXELS = 30;
/** With more categories than this some labels are left out. */
const LABELS_SHOWN = 12;
const COLORS = ["#1f6f8b", "#d98324", "#6a8d3b", "#8a5a9e", "#b03a48", "#57606a"];

/**
 * Renders a plot as an SVG element without scripts, animation or references to other files.
 *
 * @param plot - What to draw
 * @returns The SVG element as text
 * @example
 * renderPlot({ title: "Latency", unit: "ms", categories: ["question"], series: [] });
 */
export function renderPlot(plot: ReportPlot): string {
    const chart = echarts.init(undefined, undefined, {
        renderer: "svg",
        ssr: true,
        width: WIDTH_PIXELS,
        height: HEIGHT_PIXELS,
    });
    chart.setOption({
        animation: false,
        color: COLORS,
        textStyle: { fontFamily: "sans-serif" },
        title: { text: plot.title, left: "center", textStyle: { fontSize: 15 } },
        legend: { top: 28 },
        grid: { left: LEFT_PIXELS, right: RIGHT_PIXELS, top: 75, bottom: 50 },
        xAxis: { type: "category", data: [...plot.categories], axisLabel: buildLabels(plot.categories.length) },
        yAxis: { type: plot.isLogarithmic === true ? "log" : "value", name: plot.unit },
        series: plot.series.map((series, index) => buildSeries(series, index === 0 ? plot : undefined)),
    });
    const svg = chart.renderToSVGString();
    chart.dispose();
    return svg;
}

function buildLabels(categories: number) {
    if (categories > LABELS_SHOWN) {
        return { hideOverlap: true };
    }
    const width = (WIDTH_PIXELS - LEFT_PIXELS - RIGHT_PIXELS) / Math.max(1, categories) - 8;
    return { interval: 0, width, overflow: "break" as const };
}

function buildSeries(series: ReportSeries, plotWithMarks: ReportPlot | undefined) {
    const marks = plotWithMarks?.marks ?? [];
    return {
        type: series.style,
        name: series.name,
        data: series.values.map(value => (Number.isFinite(value) ? value : "-")),
        symbolSize: 9,
        showSymbol: false,
        markLine: {
            silent: true,
            symbol: "none",
            lineStyle: { color: "#57606a", type: "dashed" },
            data: marks.map(({ category, label }) => ({ xAxis: category, name: label, label: { formatter: label } })),
        },
    };
}
