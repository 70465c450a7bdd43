/**
 * @module Describes alarms of the sequential tests.
 */
import { Measure, type VersionAlarm } from "./versionEvidence";

const MEASURE_TEXTS: Readonly<Record<Measure, string>> = {
    [Measure.Failures]: "failed",
    [Measure.FirstToken]: "had a slow first token",
    [Measure.TokenGap]: "had slow tokens",
};

/**
 * Describes an alarm for operators.
 *
 * @param alarm - The alarm
 * @param nodeId - The node that raised it
 * @returns A sentence
 * @example
 * describeAlarm(alarm, "node-3");
 * //=> "50% of 8 attempts failed on route chat at low load (allowed 0.5%), seen by node-3."
 */
export function describeAlarm(alarm: VersionAlarm, nodeId: string): string {
    const observed = formatPercent(alarm.observedRate);
    const source = alarm.isPooled ? `the counts of all nodes at ${nodeId}` : nodeId;
    const what = `${observed} of ${alarm.trials} attempts ${MEASURE_TEXTS[alarm.measure]}`;
    const where = `on route ${alarm.route} at ${alarm.loadLevel} load`;
    return `${what} ${where} (allowed ${formatPercent(alarm.allowedRate)}), seen by ${source}.`;
}

function formatPercent(rate: number): string {
    return `${Math.round(rate * 1_000) / 10}%`;
}
