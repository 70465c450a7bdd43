/**
 * @module Merges what several nodes know of prompt parts that may crash endpoints.
 */
import { CRASH_RETENTION_MS, CRASHES_PER_PART_MAX, SUSPECTS_MAX } from "./constants";
import type { PartEvidence, SuspectParts } from "./news";

/** How many answers began in all, by what two groups of nodes say. */
export type MergeClearances = (left: number, right: number) => number;

/**
 * Merges evidence. The crashes of a part are united; of what differs on the age of one, the greater age counts. Of more
 * parts than news may name, those are kept that have most crashes for each answer that began, then the latest ones.
 *
 * @param list - The evidence of several nodes or groups of nodes
 * @param mergeClearances - `sumClearances` if those are distinct, `Math.max` if they may be the same nodes
 * @returns The merged evidence
 * @example
 * mergeSuspects([reports.a.suspects, reports.b.suspects], sumClearances);
 */
export function mergeSuspects(list: readonly SuspectParts[], mergeClearances: MergeClearances): SuspectParts {
    const parts = new Map<string, PartEvidence>();
    for (const [part, evidence] of list.flatMap(suspects => Object.entries(suspects))) {
        const before = parts.get(part);
        parts.set(part, before === undefined ? evidence : mergeEvidence(before, evidence, mergeClearances));
    }
    const trimmed = [...parts].flatMap(([part, evidence]): [string, PartEvidence][] => {
        const crashes = listLatestCrashes(evidence);
        return crashes.length === 0 ? [] : [[part, { ...evidence, crashes: Object.fromEntries(crashes) }]];
    });
    return Object.fromEntries(trimmed.sort(compareSuspicion).slice(0, SUSPECTS_MAX));
}

/**
 * Adds the clearances of distinct nodes.
 *
 * @param left - Those of one
 * @param right - Those of the other
 * @returns The sum
 * @example
 * mergeSuspects(list, sumClearances);
 */
export function sumClearances(left: number, right: number): number {
    return left + right;
}

/**
 * Gives evidence as it is some time after it was received.
 *
 * @param suspects - The evidence
 * @param elapsedMs - The time, in milliseconds
 * @returns The evidence with all crashes older by that time; they are never made younger
 * @example
 * advanceSuspects(report.suspects, nowMs - heardAtMs);
 */
export function advanceSuspects(suspects: SuspectParts, elapsedMs: number): SuspectParts {
    const advanceCrashes = (crashes: PartEvidence["crashes"]) =>
        Object.fromEntries(Object.entries(crashes).map(([key, ageMs]) => [key, ageMs + Math.max(0, elapsedMs)]));
    return Object.fromEntries(
        Object.entries(suspects).map(([part, evidence]) => [
            part,
            { ...evidence, crashes: advanceCrashes(evidence.crashes) },
        ]),
    );
}

function mergeEvidence(left: PartEvidence, right: PartEvidence, mergeClearances: MergeClearances): PartEvidence {
    const crashes = new Map(Object.entries(left.crashes));
    for (const [key, ageMs] of Object.entries(right.crashes)) {
        crashes.set(key, Math.max(ageMs, crashes.get(key) ?? 0));
    }
    return {
        crashes: Object.fromEntries(crashes),
        clearances: mergeClearances(left.clearances, right.clearances),
        earlierClearances: mergeClearances(left.earlierClearances, right.earlierClearances),
    };
}

function listLatestCrashes({ crashes }: PartEvidence): readonly (readonly [string, number])[] {
    return Object.entries(crashes)
        .filter(([, ageMs]) => ageMs < CRASH_RETENTION_MS)
        .sort(([leftKey, leftMs], [rightKey, rightMs]) => leftMs - rightMs || compareTexts(leftKey, rightKey))
        .slice(0, CRASHES_PER_PART_MAX);
}

/** Orders parts from the most suspect to the least. */
function compareSuspicion(
    [leftPart, left]: [string, PartEvidence],
    [rightPart, right]: [string, PartEvidence],
): number {
    return (
        computeSuspicion(right) - computeSuspicion(left) ||
        Math.min(...Object.values(left.crashes)) - Math.min(...Object.values(right.crashes)) ||
        left.earlierClearances - right.earlierClearances ||
        compareTexts(leftPart, rightPart)
    );
}

function computeSuspicion({ crashes, clearances }: PartEvidence): number {
    return Object.keys(crashes).length / (1 + clearances);
}

function compareTexts(left: string, right: string): number {
    return left < right ? -1 : 1;
}
