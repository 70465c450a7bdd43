/**
 * @module Records an attempt of this node in the evidence of a version move.
 */
import { computeAlarmThreshold } from "./computeAlarmThreshold";
import { computeAllowedRate } from "./computeAllowedRate";
import {
    REFERENCE_OBSERVATIONS,
    REFERENCE_PERCENTILE,
    REFERENCE_REFRESH_OBSERVATIONS,
    SLOW_GAP_FACTOR,
} from "./constants";
import { buildCellKey } from "./buildCellKey";
import { createEvidenceCell } from "./createEvidenceCell";
import { findReferenceCounts } from "./findReferenceCounts";
import { listOwnCounts } from "./listOwnCounts";
import { updateScores } from "./updateScores";
import {
    type EvidenceCell,
    Measure,
    type MeasureCounts,
    type MoveEvidence,
    type ReferenceTimes,
    type SlowRule,
    type TrialCount,
    type VersionAlarm,
    type VersionObservation,
} from "./versionEvidence";

/** Token gaps are recorded in hundredths of a millisecond. */
const GAP_UNITS_PER_MS = 100;
const TOKEN_GAP_RULE: SlowRule = { percentile: REFERENCE_PERCENTILE, factor: SLOW_GAP_FACTOR };

/** Trials that one observation adds, by measure. A measure is absent if it was not observed or can't be judged yet. */
type Trials = Readonly<Partial<Record<Measure, TrialCount>>>;

/**
 * Records an attempt on the old or the new version. Modifies the evidence in place.
 *
 * @param evidence - The evidence of the move
 * @param observation - The observed attempt
 * @returns The alarm that the observation raised, if any
 * @example
 * const alarm = recordObservation(evidence, observation);
 */
export function recordObservation(evidence: MoveEvidence, observation: VersionObservation): VersionAlarm | undefined {
    const cell = findCell(evidence, observation);
    const trials = evaluateObservation(cell, observation, evidence.firstTokenRule);
    if (observation.version === evidence.oldVersion) {
        recordReference(cell, observation);
        cell.counts = { ...cell.counts, old: addTrials(cell.counts.old, trials) };
        return undefined;
    }
    if (observation.version !== evidence.newVersion) {
        return undefined;
    }
    cell.counts = { ...cell.counts, next: addTrials(cell.counts.next, trials) };
    return updateCellScores(evidence, cell, trials);
}

function findCell(evidence: MoveEvidence, observation: VersionObservation): EvidenceCell {
    const key = buildCellKey(observation);
    const known = evidence.cells.get(key);
    if (known !== undefined) {
        return known;
    }
    const created = createEvidenceCell(observation.route, observation.loadLevel);
    evidence.cells.set(key, created);
    return created;
}

function evaluateObservation(cell: EvidenceCell, observation: VersionObservation, firstTokenRule: SlowRule): Trials {
    return {
        [Measure.Failures]: { trials: 1, bad: observation.isFailure ? 1 : 0 },
        [Measure.FirstToken]: evaluateTime(cell.firstTokenTimes, observation.firstTokenMs, firstTokenRule),
        [Measure.TokenGap]: evaluateTime(
            cell.tokenGapTimes,
            observation.tokenGapMs === undefined ? undefined : observation.tokenGapMs * GAP_UNITS_PER_MS,
            TOKEN_GAP_RULE,
        ),
    };
}

function evaluateTime(
    reference: ReferenceTimes,
    value: number | undefined,
    { percentile, factor }: SlowRule,
): TrialCount | undefined {
    const { histogram } = reference;
    if (value === undefined || histogram.totalCount < REFERENCE_OBSERVATIONS) {
        return undefined;
    }
    if (
        histogram.totalCount >= reference.countAtRefresh + REFERENCE_REFRESH_OBSERVATIONS ||
        reference.countAtRefresh === 0
    ) {
        reference.percentileValue = histogram.getValueAtPercentile(percentile);
        reference.countAtRefresh = histogram.totalCount;
    }
    return { trials: 1, bad: value > reference.percentileValue * factor ? 1 : 0 };
}

function recordReference(cell: EvidenceCell, observation: VersionObservation): void {
    if (observation.firstTokenMs !== undefined) {
        cell.firstTokenTimes.histogram.recordValue(Math.max(1, Math.round(observation.firstTokenMs)));
    }
    if (observation.tokenGapMs !== undefined) {
        cell.tokenGapTimes.histogram.recordValue(Math.max(1, Math.round(observation.tokenGapMs * GAP_UNITS_PER_MS)));
    }
}

function addTrials(counts: MeasureCounts, trials: Trials): MeasureCounts {
    const add = (measure: Measure): TrialCount => ({
        trials: counts[measure].trials + (trials[measure]?.trials ?? 0),
        bad: counts[measure].bad + (trials[measure]?.bad ?? 0),
    });
    return {
        [Measure.Failures]: add(Measure.Failures),
        [Measure.FirstToken]: add(Measure.FirstToken),
        [Measure.TokenGap]: add(Measure.TokenGap),
    };
}

function updateCellScores(evidence: MoveEvidence, cell: EvidenceCell, trials: Trials): VersionAlarm | undefined {
    const cells = listOwnCounts(evidence);
    let alarm: VersionAlarm | undefined;
    for (const measure of Object.values(Measure)) {
        const added = trials[measure];
        const reference = findReferenceCounts(measure, cell.counts, cells);
        if (added !== undefined && reference !== undefined) {
            const allowedRate = computeAllowedRate(measure, reference);
            const scores = updateScores(cell.scores[measure], added, allowedRate);
            cell.scores = { ...cell.scores, [measure]: scores };
            const { trials: totalTrials, bad } = cell.counts.next[measure];
            if (Math.max(...scores) >= computeAlarmThreshold(totalTrials)) {
                const { route, loadLevel } = cell.counts;
                const observedRate = bad / totalTrials;
                alarm ??= {
                    measure,
                    route,
                    loadLevel,
                    observedRate,
                    allowedRate,
                    trials: totalTrials,
                    isPooled: false,
                };
            }
        }
    }
    return alarm;
}
