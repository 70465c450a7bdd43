/**
 * @module The sections of the report about the four measures.
 */
import { type ReportPlot, type ReportSection, type ReportTable, SeriesStyle } from "../report/reportSection";
import { NOTICE_MS, SCENARIOS } from "../policy/settings";
import { checkTargets } from "./checkTargets";
import { SCORE_FORMULA } from "./computeScore";
import { MOVE_WINDOW_MS } from "./measureMoves";
import { OWN_NAME, type ServingRun } from "./measureServing";
import type { Measurement } from "./measurement";

/** Column heads of the table of the four measures. */
export const MEASURE_HEAD = [
    "policy",
    "cost of an answer inside target, millionths",
    "tokens recomputed",
    "good versions done",
    "bad versions taken back",
    "score",
    "score of cost and tokens alone",
    "worst share inside target",
    "admitted",
];

/**
 * Builds the sections of one deployment.
 *
 * @param measurement - Its figures
 * @returns Sections: measures, latency, cost, recomputed tokens, a wave, version moves
 * @example
 * renderReport(buildSections(measurement), { title: "Derwent", origin: "seed 1" });
 */
export function buildSections(measurement: Measurement): readonly ReportSection[] {
    const targets = checkTargets(measurement);
    const { name, weights } = measurement.deployment;
    const weightText = Object.entries(weights)
        .map(([measure, weight]) => `${measure} ${weight}`)
        .join(", ");
    return [
        {
            title: `${name}: the four measures`,
            text:
                `Weights: ${weightText}. ${SCORE_FORMULA}. The baselines finish or prefill all streams of a wave, ` +
                "whichever is better, and move versions by the clock, so that by definition every version ends as done.",
            targets: [],
            plots: [],
            tables: [buildMeasureTable(measurement)],
        },
        {
            title: `${name}: latency by class`,
            text: "Time to the first token of admitted requests under our policy, with the target of each class.",
            targets: targets.latency,
            plots: [plotLatency(measurement)],
            tables: [],
        },
        {
            title: `${name}: cost`,
            text: "VMs and volume between regions, divided by the answers inside their latency target, by load. Logarithmic: without admission nearly every answer is late at load 1.5.",
            targets: targets.cost,
            plots: [
                plotByLoad(
                    measurement,
                    "Cost of an answer inside its target",
                    "millionths",
                    run => run.costMicrosPerAnswer,
                ),
            ],
            tables: [],
        },
        {
            title: `${name}: recomputed tokens`,
            text: "Tokens computed again when one failure domain is reclaimed, mean of ten seeds, by notice.",
            targets: targets.recomputed,
            plots: [plotWaves(measurement)],
            tables: [],
        },
        {
            title: `${name}: a reclaim wave as it passed`,
            text: `One failure domain is reclaimed with ${NOTICE_MS / 1_000} s notice at load 0.7. Requests by the second in which they came.`,
            targets: [],
            plots: plotTimeline(measurement),
            tables: [],
        },
        {
            title: `${name}: version moves`,
            text: `Ends of simulated moves with a window of ${MOVE_WINDOW_MS / 60_000} minutes, by what is wrong with the new version.`,
            targets: targets.versions,
            plots: plotMoves(measurement),
            tables: [],
        },
    ];
}

/**
 * Builds the table of the four measures.
 *
 * @param measurement - The figures of one deployment
 * @returns One row for each policy
 * @example
 * buildMeasureTable(measurement).rows.length;
 */
export function buildMeasureTable({ policies }: Measurement): ReportTable {
    const rows = policies.map(policy => [
        policy.policy,
        policy.costMicros.toFixed(1),
        policy.recomputedTokens.toFixed(0),
        formatPercent(policy.goodDone),
        formatPercent(policy.badTakenBack),
        policy.score.toFixed(1),
        policy.servingScore.toFixed(1),
        formatPercent(policy.worstInsideTarget),
        formatPercent(policy.admittedShare),
    ]);
    return { head: MEASURE_HEAD, rows };
}

function plotLatency({ serving }: Measurement): ReportPlot {
    const rows = serving
        .filter(run => run.policy === OWN_NAME)
        .flatMap(run => run.classes.map(latency => ({ label: `${latency.className}, ${run.scenario}`, ...latency })));
    const bars = { style: SeriesStyle.Bar };
    return {
        title: "Time to first token by class and load",
        unit: "ms",
        categories: rows.map(row => row.label),
        series: [
            { name: "median", ...bars, values: rows.map(row => row.medianMs) },
            { name: "95th percentile", ...bars, values: rows.map(row => row.p95Ms) },
            { name: "99th percentile", ...bars, values: rows.map(row => row.p99Ms) },
            { name: "target", style: SeriesStyle.Point, values: rows.map(row => row.targetMs) },
        ],
    };
}

function plotByLoad(
    { serving, policies }: Measurement,
    title: string,
    unit: string,
    pick: (run: ServingRun) => number,
): ReportPlot {
    const loads = SCENARIOS.map(scenario => scenario.name);
    const series = policies.map(({ policy }) => {
        const runs = serving.filter(run => run.policy === policy);
        return { name: policy, style: SeriesStyle.Bar, values: runs.map(pick) };
    });
    return { title, unit, isLogarithmic: true, categories: loads.map(load => `load ${load}`), series };
}

function plotWaves({ waves }: Measurement): ReportPlot {
    const bars = { style: SeriesStyle.Bar };
    return {
        title: "Tokens recomputed in a wave",
        unit: "tokens",
        categories: waves.map(wave => `${wave.noticeMs / 1_000} s notice`),
        series: [
            { name: "planned", ...bars, values: waves.map(wave => wave.planned) },
            { name: "planned, no export", ...bars, values: waves.map(wave => wave.plannedWithoutExport) },
            { name: "always finish", ...bars, values: waves.map(wave => wave.alwaysFinish) },
            { name: "always prefill", ...bars, values: waves.map(wave => wave.alwaysPrefill) },
            { name: "transfer at once", ...bars, values: waves.map(wave => wave.transferAtOnce) },
        ],
    };
}

function plotTimeline({ serving, deployment }: Measurement): readonly ReportPlot[] {
    const { timeline } = serving.find(run => run.policy === OWN_NAME && run.scenario === "wave")!;
    const noticeSecond = deployment.size.measuredMs / 2_000;
    const lines = { style: SeriesStyle.Line };
    const categories = timeline.map(({ second }) => `${second} s`);
    const marks = [
        { category: `${noticeSecond} s`, label: "notice" },
        { category: `${noticeSecond + NOTICE_MS / 1_000} s`, label: "gone" },
    ];
    return [
        {
            title: "Requests during the wave",
            unit: "requests a second",
            categories,
            marks,
            series: [
                { name: "arrived", ...lines, values: timeline.map(({ arrived }) => arrived) },
                { name: "inside target", ...lines, values: timeline.map(({ inside }) => inside) },
                { name: "late", ...lines, values: timeline.map(({ late }) => late) },
                { name: "refused", ...lines, values: timeline.map(({ refused }) => refused) },
            ],
        },
        {
            title: "Longest time to first token during the wave",
            unit: "ms",
            categories,
            marks,
            series: [{ name: "longest", ...lines, values: timeline.map(second => second.worstFirstTokenMs) }],
        },
    ];
}

function plotMoves({ moves }: Measurement): readonly ReportPlot[] {
    const categories = moves.map(({ fault }) => fault);
    const bars = { style: SeriesStyle.Bar };
    return [
        {
            title: "How moves ended",
            unit: "moves",
            categories,
            series: [
                { name: "done", ...bars, values: moves.map(({ done }) => done) },
                { name: "taken back", ...bars, values: moves.map(({ takenBack }) => takenBack) },
                {
                    name: "neither",
                    ...bars,
                    values: moves.map(({ runs, done, takenBack }) => runs - done - takenBack),
                },
            ],
        },
        {
            title: "Traffic that met the fault, worst move",
            unit: "% of the window",
            categories,
            series: [
                { name: "exposed", ...bars, values: moves.map(({ worstExposedShare }) => worstExposedShare * 100) },
                { name: "limit", style: SeriesStyle.Point, values: moves.map(() => 1) },
            ],
        },
        {
            title: "Time to the end of the move, median",
            unit: "minutes",
            categories,
            series: [
                { name: "ended", ...bars, values: moves.map(({ medianEndedAfterMs }) => medianEndedAfterMs / 60_000) },
            ],
        },
    ];
}

function formatPercent(share: number): string {
    return `${(share * 100).toFixed(1)}%`;
}
