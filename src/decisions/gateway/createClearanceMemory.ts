/**
 * @module Remembers with which prompt parts answers of this node began while their endpoints lived on.
 */

/** A memory of bounded size. It changes its own state, since it is used for each answer. */
export interface ClearanceMemory {
    /** Records an answer with these parts. */
    recordClearance(parts: readonly string[], beganAtMs: number): void;
    /** Counts the remembered answers with a part that began after a time. */
    countSince(part: string, sinceMs: number): number;
    /** Counts all answers with a part. */
    countAll(part: string): number;
    /** Gives when the last answer with a part began. */
    findLastMs(part: string): number | undefined;
    /** Counts the remembered answers without a part that began after a time. */
    countOthersSince(part: string, sinceMs: number): number;
}

interface Clearance {
    readonly parts: readonly string[];
    readonly beganAtMs: number;
}

/** Parts that are remembered, and times for each. */
const PARTS_MAX = 2_000;
const TIMES_MAX = 8;
/** Answers that are remembered whole. */
const ANSWERS_MAX = 32;

/**
 * Creates an empty memory.
 *
 * @returns The memory; the least recently answered parts leave it first
 * @example
 * memory.recordClearance(["a", "b"], nowMs);
 */
export function createClearanceMemory(): ClearanceMemory {
    const parts = new Map<string, { count: number; times: number[] }>();
    const answers: Clearance[] = [];
    const recordPart = (part: string, beganAtMs: number) => {
        const known = parts.get(part) ?? { count: 0, times: [] };
        known.count++;
        known.times.push(beganAtMs);
        if (known.times.length > TIMES_MAX) {
            known.times.shift();
        }
        parts.delete(part);
        parts.set(part, known);
        if (parts.size > PARTS_MAX) {
            parts.delete(parts.keys().next().value ?? "");
        }
    };
    return {
        recordClearance: (ids, beganAtMs) => {
            ids.forEach(part => recordPart(part, beganAtMs));
            answers.push({ parts: ids, beganAtMs });
            if (answers.length > ANSWERS_MAX) {
                answers.shift();
            }
        },
        countSince: (part, sinceMs) => parts.get(part)?.times.filter(atMs => atMs > sinceMs).length ?? 0,
        countAll: part => parts.get(part)?.count ?? 0,
        findLastMs: part => {
            const known = parts.get(part);
            return known === undefined ? undefined : Math.max(...known.times);
        },
        countOthersSince: (part, sinceMs) =>
            answers.filter(answer => answer.beganAtMs > sinceMs && !answer.parts.includes(part)).length,
    };
}
