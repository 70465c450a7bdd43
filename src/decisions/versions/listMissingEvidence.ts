/**
 * @module Tells what is missing before a version on trial counts as good.
 */
import { computeAllowedRate } from "./computeAllowedRate";
import { REFERENCE_OBSERVATIONS, SIGNIFICANT_ROUTE_FRACTION } from "./constants";
import { type CellCounts, Measure, type TrialCount } from "./versionEvidence";

/** Route name of the cell that counts the attempts on all routes. */
export const ALL_ROUTES = "*";

/** A version is good if a fault is this much less likely than none. */
const LIKELIHOOD_RATIO = 100;
/** Additional rate of bad attempts that makes a fault: over all routes, and on a single one. */
const FAULT_SHARE = 0.25;
const ROUTE_FAULT_SHARE = 0.5;

/** Measures that must speak for the version. */
const JUDGED_MEASURES = [Measure.Failures, Measure.FirstToken] as const;

/**
 * Lists what still speaks against the new version, or doesn't speak for it: a version on trial is not good because no
 * fault was shown, but because a fault would have shown. Routes with few requests are not judged alone.
 *
 * @param cells - The counts of all nodes, with a cell for all routes
 * @returns Sentences for operators; empty if the version counts as good
 * @example
 * listMissingEvidence([]); //=> ["no attempts of the old version to compare with"]
 */
export function listMissingEvidence(cells: readonly CellCounts[]): readonly string[] {
    const all = cells.find(({ route }) => route === ALL_ROUTES);
    const oldTrials = all?.old[Measure.Failures].trials ?? 0;
    if (all === undefined || oldTrials < REFERENCE_OBSERVATIONS) {
        return ["no attempts of the old version to compare with"];
    }
    const significant = cells.filter(
        ({ route, old }) =>
            route !== ALL_ROUTES && old[Measure.Failures].trials >= SIGNIFICANT_ROUTE_FRACTION * oldTrials,
    );
    return [...listUnproved(all, FAULT_SHARE), ...significant.flatMap(cell => listUnproved(cell, ROUTE_FAULT_SHARE))];
}

function listUnproved({ route, old, next }: CellCounts, faultShare: number): readonly string[] {
    return JUDGED_MEASURES.filter(measure => !isProved(measure, old[measure], next[measure], faultShare)).map(
        measure => {
            const where = route === ALL_ROUTES ? "all routes" : `route ${route}`;
            return `${next[measure].bad} of ${next[measure].trials} bad (${measure}, ${where})`;
        },
    );
}

function isProved(measure: Measure, old: TrialCount, next: TrialCount, faultShare: number): boolean {
    const allowedRate = computeAllowedRate(measure, old);
    const faultRate = allowedRate + faultShare * (1 - allowedRate);
    const good = next.trials - next.bad;
    const ratio = next.bad * Math.log(faultRate / allowedRate) + good * Math.log((1 - faultRate) / (1 - allowedRate));
    return ratio <= -Math.log(LIKELIHOOD_RATIO);
}
