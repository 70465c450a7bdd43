/**
 * @module Creates empty evidence cells.
 */
import { build as buildHistogram } from "hdr-histogram-js";
import { EMPTY_COUNTS, EMPTY_SCORES } from "./emptyCounts";
import type { CellCounts, EvidenceCell, LoadLevel, ReferenceTimes } from "./versionEvidence";

/** Largest time that a histogram records, in milliseconds or, for token gaps, hundredths of a millisecond. */
const MAXIMUM_RECORDED_VALUE = 60_000_000;
const SIGNIFICANT_DIGITS = 2;

/**
 * Creates an empty evidence cell.
 *
 * @param route - The route
 * @param loadLevel - The load level
 * @returns The cell
 * @example
 * createEvidenceCell("chat", LoadLevel.Low);
 */
export function createEvidenceCell(route: string, loadLevel: LoadLevel): EvidenceCell {
    const counts: CellCounts = { route, loadLevel, old: EMPTY_COUNTS, next: EMPTY_COUNTS };
    return {
        counts,
        scores: EMPTY_SCORES,
        firstTokenTimes: createReferenceTimes(),
        tokenGapTimes: createReferenceTimes(),
    };
}

function createReferenceTimes(): ReferenceTimes {
    const histogram = buildHistogram({
        highestTrackableValue: MAXIMUM_RECORDED_VALUE,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
    return { histogram, percentileValue: 0, countAtRefresh: 0 };
}
