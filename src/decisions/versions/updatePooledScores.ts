/**
 * @module Updates the sequential tests over the combined counts of all nodes.
 */
import { computeAlarmThreshold } from "./computeAlarmThreshold";
import { computeAllowedRate } from "./computeAllowedRate";
import { mergeCounts } from "./_lib/mergeCounts";
import { EMPTY_COUNTS, EMPTY_SCORES } from "./emptyCounts";
import { findReferenceCounts } from "./findReferenceCounts";
import { listOwnCounts } from "./listOwnCounts";
import { sumReports } from "./sumReports";
import { updateScores } from "./updateScores";
import { type CellCounts, Measure, type MoveEvidence, type TestScores, type VersionAlarm } from "./versionEvidence";

/**
 * Adds the trials counted on all nodes since the previous call to the pooled scores. Modifies the evidence in place.
 *
 * @param evidence - The evidence of a move
 * @returns The alarm that these trials raised, if any
 * @example
 * const alarm = updatePooledScores(evidence);
 */
export function updatePooledScores(evidence: MoveEvidence): VersionAlarm | undefined {
    let alarm: VersionAlarm | undefined;
    const totals = sumReports([listOwnCounts(evidence), ...evidence.peerCounts.values()]);
    const cells = [...totals.values()];
    for (const [key, total] of totals) {
        const before = evidence.pooledCounts.get(key) ?? EMPTY_COUNTS;
        const added = mergeCounts(total.next, before, (now, then) => ({
            trials: Math.max(0, now.trials - then.trials),
            bad: Math.max(0, now.bad - then.bad),
        }));
        const scores = evidence.pooledScores.get(key) ?? EMPTY_SCORES;
        const updated = Object.fromEntries(
            Object.values(Measure).map(measure => {
                const reference = findReferenceCounts(measure, total, cells);
                const allowedRate = reference && computeAllowedRate(measure, reference);
                const isComparable = allowedRate !== undefined;
                return [measure, isComparable ? updateScores(scores[measure], added[measure], allowedRate) : []];
            }),
        ) as Record<Measure, TestScores>;
        evidence.pooledScores.set(key, updated);
        evidence.pooledCounts.set(key, total.next);
        alarm ??= findAlarm(total, updated);
    }
    return alarm;
}

function findAlarm(total: CellCounts, scores: Readonly<Record<Measure, TestScores>>): VersionAlarm | undefined {
    const measure = Object.values(Measure).find(
        candidate =>
            total.next[candidate].bad > 0 &&
            Math.max(0, ...scores[candidate]) >= computeAlarmThreshold(total.next[candidate].trials),
    );
    if (measure === undefined) {
        return undefined;
    }
    const { trials, bad } = total.next[measure];
    return {
        measure,
        route: total.route,
        loadLevel: total.loadLevel,
        observedRate: trials === 0 ? 0 : bad / trials,
        allowedRate: computeAllowedRate(measure, total.old[measure]),
        trials,
        isPooled: true,
    };
}
