/**
 * @module Merges what several nodes know of prompt parts that may crash endpoints.
 */
import { hashText } from "../../base/hashText";
import { CRASH_RETENTION_MS, CRASHES_PER_PART_MAX, SUSPECTS_MAX } from "./constants";
import type { PartEvidence, SuspectParts } from "./news";

/** How many answers began in all, by what two groups of nodes say. */
export type MergeClearances = (left: number, right: number) => number;

interface MergedPart {
    readonly crashes: Map<string, number>;
    clearances: number;
    earlierClearances: number;
}

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
    return mergeHeardSuspects(
        list.map(suspects => ({ suspects, elapsedMs: 0 })),
        mergeClearances,
    );
}

/**
 * Merges evidence as `mergeSuspects` does, each as it is some time after it was received.
 *
 * @param list - The evidence of several nodes or groups of nodes, and the time since then in milliseconds
 * @param mergeClearances - `sumClearances` if those are distinct, `Math.max` if they may be the same nodes
 * @returns The merged evidence
 * @example
 * mergeHeardSuspects([{ suspects: report.suspects, elapsedMs: nowMs - heardAtMs }], sumClearances);
 */
export function mergeHeardSuspects(
    list: readonly { readonly suspects: SuspectParts; readonly elapsedMs: number }[],
    mergeClearances: MergeClearances,
): SuspectParts {
    const parts = new Map<string, MergedPart>();
    for (const { suspects, elapsedMs } of list) {
        for (const [part, evidence] of Object.entries(suspects)) {
            addEvidence(parts, part, { evidence, elapsedMs: Math.max(0, elapsedMs) }, mergeClearances);
        }
    }
    const trimmed = [...parts].flatMap(([part, { crashes, ...clearances }]): [string, PartEvidence][] => {
        const latest = listLatestCrashes(crashes);
        return latest.length === 0 ? [] : [[part, { crashes: Object.fromEntries(latest), ...clearances }]];
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
    return mergeHeardSuspects([{ suspects, elapsedMs }], Math.max);
}

/** Adds to the merged parts; it changes them, since a relay merges the evidence of all its nodes in each period. */
function addEvidence(
    parts: Map<string, MergedPart>,
    part: string,
    { evidence, elapsedMs }: { readonly evidence: PartEvidence; readonly elapsedMs: number },
    mergeClearances: MergeClearances,
): void {
    const { crashes, clearances, earlierClearances } = evidence;
    let merged = parts.get(part);
    if (merged === undefined) {
        merged = { crashes: new Map(), clearances, earlierClearances };
        parts.set(part, merged);
    } else {
        merged.clearances = mergeClearances(merged.clearances, clearances);
        merged.earlierClearances = mergeClearances(merged.earlierClearances, earlierClearances);
    }
    for (const key of Object.keys(crashes)) {
        const ageMs = (crashes[key] ?? 0) + elapsedMs;
        const knownMs = merged.crashes.get(key);
        if (knownMs === undefined || knownMs < ageMs) {
            merged.crashes.set(key, ageMs);
        }
    }
}

function listLatestCrashes(crashes: ReadonlyMap<string, number>): readonly (readonly [string, number])[] {
    return [...crashes]
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
        computeRank(leftPart, left) - computeRank(rightPart, right) ||
        compareTexts(leftPart, rightPart)
    );
}

/** Ranks equal parts of a crash, another way for each crash: a part of several crashes is kept sooner or later. */
function computeRank(part: string, { crashes }: PartEvidence): number {
    return hashText(`${part}|${Object.keys(crashes).sort().join("|")}`);
}

function computeSuspicion({ crashes, clearances }: PartEvidence): number {
    return Object.keys(crashes).length / (1 + clearances);
}

function compareTexts(left: string, right: string): number {
    return left < right ? -1 : 1;
}
