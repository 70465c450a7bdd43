/**
 * @module The targets of the project that these measures can show.
 */
import type { ReportTarget } from "../report/reportSection";
import { VersionFault } from "../versions/simulateMove";
import { OWN_NAME } from "./measureServing";
import type { Measurement } from "./measurement";
import { findBestBaseline } from "./summarizePolicies";

const LEAST_INSIDE = 0.95;
const LEAST_OVERLOAD_GOODPUT = 0.9;
const HIGHEST_RECOMPUTED_RATIO = 0.5;
const HIGHEST_WRONGLY_TAKEN_BACK = 0.01;
const HIGHEST_EXPOSED_SHARE = 0.01;
const LONGEST_EXPOSURE_MS = 5_000;

/** The targets of one deployment by topic. */
export interface CheckedTargets {
    readonly latency: readonly ReportTarget[];
    readonly cost: readonly ReportTarget[];
    readonly recomputed: readonly ReportTarget[];
    readonly versions: readonly ReportTarget[];
}

/**
 * Compares a measurement with the targets.
 *
 * @param measurement - The figures of one deployment
 * @returns Each target with its figure
 * @example
 * checkTargets(measurement).latency.every(target => target.holds);
 */
export function checkTargets(measurement: Measurement): CheckedTargets {
    const prefix = measurement.deployment.name;
    return {
        latency: checkLatency(measurement).map(target => ({ ...target, name: `${prefix}: ${target.name}` })),
        cost: checkCost(measurement).map(target => ({ ...target, name: `${prefix}: ${target.name}` })),
        recomputed: checkRecomputed(measurement).map(target => ({ ...target, name: `${prefix}: ${target.name}` })),
        versions: checkVersions(measurement).map(target => ({ ...target, name: `${prefix}: ${target.name}` })),
    };
}

function checkLatency({ serving }: Measurement): readonly ReportTarget[] {
    const findRun = (scenario: string) => serving.find(run => run.policy === OWN_NAME && run.scenario === scenario)!;
    const inside = ["1.0", "wave"].map(scenario => {
        const value = findRun(scenario).insideTarget;
        const target = `at least ${formatShare(LEAST_INSIDE)}`;
        const name = `admitted requests inside their target, load ${scenario}`;
        return { name, figure: formatShare(value), target, holds: value >= LEAST_INSIDE };
    });
    const ratio = findRun("1.5").goodput / findRun("1.0").goodput;
    const goodput = {
        name: "answers inside target a second at load 1.5, over those at load 1.0",
        figure: formatShare(ratio),
        target: `at least ${formatShare(LEAST_OVERLOAD_GOODPUT)}`,
        holds: ratio >= LEAST_OVERLOAD_GOODPUT,
    };
    return [...inside, goodput];
}

function checkCost({ policies }: Measurement): readonly ReportTarget[] {
    const own = policies.find(({ policy }) => policy === OWN_NAME)!;
    const cheapest = Math.min(...policies.filter(other => other !== own).map(({ costMicros }) => costMicros));
    return [
        {
            name: "cost of an answer inside its target, millionths",
            figure: own.costMicros.toFixed(1),
            target: `at most the cheapest baseline's ${cheapest.toFixed(1)}`,
            holds: own.costMicros <= cheapest,
        },
    ];
}

function checkRecomputed({ waves }: Measurement): readonly ReportTarget[] {
    return waves.map(wave => {
        const best = findBestBaseline(wave);
        const ratio = wave.planned === 0 ? 0 : wave.planned / best;
        return {
            name: `recomputed tokens, ${wave.noticeMs / 1_000} s notice, over the best baseline`,
            figure: formatShare(ratio),
            target: `at most ${formatShare(HIGHEST_RECOMPUTED_RATIO)}`,
            holds: ratio <= HIGHEST_RECOMPUTED_RATIO,
        };
    });
}

function checkVersions({ moves }: Measurement): readonly ReportTarget[] {
    const good = moves.filter(({ fault }) => fault === VersionFault.None);
    const bad = moves.filter(({ fault }) => fault !== VersionFault.None);
    const count = (list: typeof moves, pick: (move: (typeof moves)[number]) => number) =>
        list.reduce((total, move) => total + pick(move), 0);
    const goodRuns = count(good, move => move.runs);
    const done = count(good, move => move.done);
    const badRuns = count(bad, move => move.runs);
    const takenBack = count(bad, move => move.takenBack);
    const exposed = Math.max(...bad.map(move => move.worstExposedShare));
    const afterAlarmMs = Math.max(...bad.map(move => move.worstAfterAlarmMs));
    return [
        {
            name: "good versions done in time",
            figure: `${done} of ${goodRuns}`,
            target: `at least ${formatShare(1 - HIGHEST_WRONGLY_TAKEN_BACK)}`,
            holds: done >= goodRuns * (1 - HIGHEST_WRONGLY_TAKEN_BACK),
        },
        {
            name: "bad versions taken back",
            figure: `${takenBack} of ${badRuns}`,
            target: "all",
            holds: takenBack === badRuns,
        },
        {
            name: "traffic that met a bad version, worst move",
            figure: formatShare(exposed, 2),
            target: `under ${formatShare(HIGHEST_EXPOSED_SHARE)}`,
            holds: exposed < HIGHEST_EXPOSED_SHARE,
        },
        {
            name: "bad version still serving after the first alarm, worst move",
            figure: `${Math.round(afterAlarmMs)} ms`,
            target: `at most ${LONGEST_EXPOSURE_MS} ms`,
            holds: afterAlarmMs <= LONGEST_EXPOSURE_MS,
        },
    ];
}

function formatShare(share: number, digits = 1): string {
    return `${(share * 100).toFixed(digits)}%`;
}
