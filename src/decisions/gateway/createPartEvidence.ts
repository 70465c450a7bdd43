/**
 * @module The evidence of a node on prompt parts that crash endpoints: its own, merged with that of the fleet.
 */
import type { PartEvidence } from "../relays/news";
import { createClearanceMemory } from "./createClearanceMemory";
import { computeHoldMs, isConvicted, type PartFacts } from "./evaluatePart";

/** What a node knows. It reads no clock; all times are monotonic times of this node. */
export interface PartEvidenceBook {
    /** Records an answer that began, at an endpoint that lived on. */
    recordClearance(parts: readonly string[], beganAtMs: number): void;
    /** Records the parts of a request that was in progress at a crash; repeated calls add up. */
    recordCrash(key: string, parts: readonly string[], atMs: number): void;
    /** Merges the evidence of the fleet: crashes are united, and the clearances replace those of the last call. */
    merge(evidence: Readonly<Record<string, PartEvidence>>, nowMs: number): void;
    /** Gives what this node reports: all crashes, and its own clearances. */
    readEvidence(nowMs: number): Readonly<Record<string, PartEvidence>>;
    /** Frees a part at an operator's order, at all nodes that this node's news reaches. */
    release(part: string, nowMs: number): void;
    /** Gives the facts on a part; `undefined` if nothing speaks against it. */
    findFacts(part: string, nowMs: number): PartFacts | undefined;
    /** Tells whether a part has evidence at all; quick, for each attempt. */
    hasEvidence(part: string): boolean;
    isFamiliar(part: string, nowMs: number): boolean;
    /** Lists the parts with evidence. */
    listParts(): readonly string[];
}

/** A part explains the crashes of another one if the blame of that one is below this share of its own. */
const BLAME_MARGIN = 0.75;
/** Limits on what is kept and reported. */
const PARTS_MAX = 64;
const REPORTED_PARTS_MAX = 16;
const CRASHES_MAX = 5;
const KEYS_MAX = 32;
/** Time after its last crash for which a suspected, and for which a quarantined part is remembered. */
const SUSPICION_MEMORY_MS = 120_000;
const QUARANTINE_MEMORY_MS = 1_800_000;
/** A crash of this age was released by an operator; it is kept for a time, so that no node brings it back. */
const RELEASED_AGE_MS = 86_400_000;
/** An answer clears a part of the crashes until shortly before its begin, since the nodes' times differ. */
const CLOCK_DIFFERENCE_MS = 100;
/** A fleet's clearances remove one crash in this time, until the other nodes have done so as well. */
const REMOVAL_PERIOD_MS = 2_000;
/** Clearances by other nodes, and the time for which they are reported, that end a quarantine. */
const REFUTING_CLEARANCES = 2;
const REFUTING_MS = 2_500;
/** Answers within this time, or in all, by which a part is familiar. */
const FAMILIAR_PERIOD_MS = 10_000;
const FAMILIAR_RECENT_MIN = 3;
const FAMILIAR_EARLIER_MIN = 20;
/** Time in which crashes without a part count against its conviction. */
const OTHER_CRASHES_PERIOD_MS = 30_000;

interface Entry {
    /** Time of each crash, by its key. */
    readonly crashes: Map<string, number>;
    /** Crashes until this time are refuted by answers. */
    refutedUntilMs: number;
    /** Keys of all crashes, those that left the list included. */
    readonly seenKeys: Set<string>;
    /** Keys of refuted crashes: reported times differ. */
    readonly refutedKeys: Set<string>;
    /** The first refuted crash that other nodes still report. */
    foreignFirstMs: number | undefined;
    fleet: { readonly clearances: number; readonly earlierClearances: number };
    removedAtMs: number;
    refutedSinceMs: number | undefined;
    isQuarantined: boolean;
}

/**
 * Creates an empty book of evidence.
 *
 * @returns The book
 * @example
 * book.recordCrash("1x7f", ["c0ffee"], nowMs);
 */
export function createPartEvidence(): PartEvidenceBook {
    const entries = new Map<string, Entry>();
    const memory = createClearanceMemory();

    const ensureEntry = (part: string): Entry => {
        const entry = entries.get(part) ?? createEntry(memory.findLastMs(part));
        entries.set(part, entry);
        return entry;
    };
    const addCrash = (part: string, key: string, atMs: number) => {
        const entry = ensureEntry(part);
        const earliestMs = Math.min(atMs, entry.crashes.get(key) ?? atMs);
        if (entry.refutedKeys.has(key) || earliestMs <= entry.refutedUntilMs) {
            entry.foreignFirstMs = Math.min(earliestMs, entry.foreignFirstMs ?? earliestMs);
            entry.crashes.delete(key);
            return;
        }
        entry.crashes.set(key, earliestMs);
        entry.seenKeys.add(key);
        trimSet(entry.seenKeys);
        if (entry.crashes.size > CRASHES_MAX) {
            entry.crashes.delete(findClosestCrash(entry.crashes));
        }
    };
    const refuteUntil = (entry: Entry, untilMs: number) => {
        entry.refutedUntilMs = Math.max(entry.refutedUntilMs, untilMs);
        for (const [key, atMs] of entry.crashes) {
            if (atMs <= untilMs) {
                entry.crashes.delete(key);
                entry.refutedKeys.add(key);
                entry.foreignFirstMs = Math.min(atMs, entry.foreignFirstMs ?? atMs);
            }
        }
        trimSet(entry.refutedKeys);
        if (entry.crashes.size === 0) {
            entry.seenKeys.clear();
        }
    };
    /** Computes how much speaks against a part: its crashes for each answer. */
    const computeBlame = (part: string, { seenKeys, fleet }: Entry) =>
        seenKeys.size / (1 + Math.max(memory.countAll(part), fleet.clearances + fleet.earlierClearances));
    /**
     * Gives the times of the crashes that are not released and that no other part explains. A part explains its crashes
     * if it has at least as many and is far more to blame.
     */
    const listCrashTimes = (part: string, entry: Entry, nowMs: number): readonly number[] => {
        const blame = computeBlame(part, entry);
        const explained = new Set<string>();
        for (const [otherPart, other] of entries) {
            const hasAsMany = other.seenKeys.size >= entry.seenKeys.size;
            if (hasAsMany && computeBlame(otherPart, other) * BLAME_MARGIN > blame) {
                [...other.crashes.keys()].forEach(key => explained.add(key));
            }
        }
        return [...entry.crashes]
            .filter(([key, atMs]) => nowMs - atMs < RELEASED_AGE_MS && !explained.has(key))
            .map(([, atMs]) => atMs)
            .sort((left, right) => left - right);
    };
    const isFamiliar = (part: string, nowMs: number) =>
        memory.countSince(part, nowMs - FAMILIAR_PERIOD_MS) >= FAMILIAR_RECENT_MIN ||
        (entries.get(part)?.fleet.earlierClearances ?? 0) >= FAMILIAR_EARLIER_MIN;
    const buildFacts = (part: string, entry: Entry, nowMs: number): PartFacts => {
        const crashTimes = listCrashTimes(part, entry, nowMs);
        const firstMs = crashTimes[0] ?? nowMs;
        const own = memory.countSince(part, firstMs);
        return {
            crashTimes,
            clearances: Math.max(own, entry.fleet.clearances),
            earlierClearances: Math.max(memory.countAll(part) - own, entry.fleet.earlierClearances),
            isFamiliar: isFamiliar(part, nowMs),
            otherCrashes: countOtherCrashes(entries, entry, nowMs),
            controls: memory.countOthersSince(part, firstMs),
            isQuarantined: entry.isQuarantined,
        };
    };
    /** Applies the fleet's clearances, then the rule of conviction. */
    const refreshEntry = (part: string, entry: Entry, nowMs: number) => {
        const times = listCrashTimes(part, entry, nowMs);
        const [firstMs, lastMs] = [times[0], times.at(-1)];
        if (firstMs === undefined || lastMs === undefined) {
            entry.isQuarantined = false;
            return;
        }
        const isRefuted = entry.fleet.clearances >= REFUTING_CLEARANCES;
        entry.refutedSinceMs = isRefuted ? (entry.refutedSinceMs ?? nowMs) : undefined;
        if (entry.isQuarantined) {
            const isTried = nowMs - lastMs >= computeHoldMs(times) && entry.fleet.clearances > 0;
            if (isTried || nowMs - (entry.refutedSinceMs ?? nowMs) >= REFUTING_MS) {
                refuteUntil(entry, lastMs);
                entry.isQuarantined = false;
            }
        } else if (isConvicted(buildFacts(part, entry, nowMs), nowMs)) {
            entry.isQuarantined = true;
        } else if (entry.fleet.clearances > 0 && nowMs - entry.removedAtMs >= REMOVAL_PERIOD_MS) {
            entry.removedAtMs = nowMs;
            refuteUntil(entry, firstMs);
        }
    };
    const removeExcess = (nowMs: number) => {
        const ranked = sortEntries(entries);
        ranked.slice(PARTS_MAX).forEach(([part]) => entries.delete(part));
        for (const [part, entry] of ranked) {
            const memoryMs = entry.isQuarantined ? QUARANTINE_MEMORY_MS : SUSPICION_MEMORY_MS;
            for (const [key, atMs] of entry.crashes) {
                if (nowMs - atMs > RELEASED_AGE_MS + QUARANTINE_MEMORY_MS) {
                    entry.crashes.delete(key);
                }
            }
            const newestMs = Math.max(entry.foreignFirstMs ?? Number.NEGATIVE_INFINITY, ...entry.crashes.values());
            const ageMs = nowMs - newestMs;
            if (ageMs > memoryMs && ageMs < RELEASED_AGE_MS - QUARANTINE_MEMORY_MS) {
                entries.delete(part);
            } else if (entry.crashes.size === 0 && entry.foreignFirstMs === undefined) {
                entries.delete(part);
            }
        }
    };
    const refreshAll = (nowMs: number) => {
        entries.forEach((entry, part) => refreshEntry(part, entry, nowMs));
        removeExcess(nowMs);
    };
    return {
        recordClearance: (parts, beganAtMs) => {
            memory.recordClearance(parts, beganAtMs);
            for (const part of parts) {
                const entry = entries.get(part);
                if (entry !== undefined) {
                    refuteUntil(entry, beganAtMs - CLOCK_DIFFERENCE_MS);
                }
            }
        },
        recordCrash: (key, parts, atMs) => {
            parts.forEach(part => addCrash(part, key, atMs));
            removeExcess(atMs);
        },
        merge: (evidence, nowMs) => {
            for (const entry of entries.values()) {
                entry.foreignFirstMs = undefined;
                entry.fleet = NO_CLEARANCES;
            }
            for (const [part, { crashes, clearances, earlierClearances }] of Object.entries(evidence)) {
                const known = Object.entries(crashes).filter(([, ageMs]) => isKeptAge(ageMs));
                if (known.length > 0) {
                    known.forEach(([key, ageMs]) => addCrash(part, key, nowMs - ageMs));
                    ensureEntry(part).fleet = { clearances, earlierClearances };
                }
            }
            refreshAll(nowMs);
        },
        readEvidence: nowMs => {
            refreshAll(nowMs);
            return Object.fromEntries(
                sortEntries(entries)
                    .slice(0, REPORTED_PARTS_MAX)
                    .map(([part, entry]) => {
                        const firstMs = Math.min(entry.foreignFirstMs ?? nowMs, ...entry.crashes.values());
                        const clearances = memory.countSince(part, firstMs);
                        const crashes = Object.fromEntries(
                            [...entry.crashes].map(([key, atMs]) => [key, Math.max(0, Math.round(nowMs - atMs))]),
                        );
                        return [part, { crashes, clearances, earlierClearances: memory.countAll(part) - clearances }];
                    }),
            );
        },
        release: (part, nowMs) => {
            const entry = entries.get(part);
            entry?.crashes.forEach((_atMs, key) => entry.crashes.set(key, nowMs - RELEASED_AGE_MS));
            refreshAll(nowMs);
        },
        findFacts: (part, nowMs) => {
            const entry = entries.get(part);
            if (entry === undefined) {
                return undefined;
            }
            refreshEntry(part, entry, nowMs);
            const facts = buildFacts(part, entry, nowMs);
            return facts.crashTimes.length === 0 ? undefined : facts;
        },
        hasEvidence: part => entries.has(part),
        isFamiliar,
        listParts: () => [...entries.keys()],
    };
}

const NO_CLEARANCES = { clearances: 0, earlierClearances: 0 };

function createEntry(lastClearedMs: number | undefined): Entry {
    return {
        crashes: new Map(),
        seenKeys: new Set(),
        refutedKeys: new Set(),
        refutedUntilMs: (lastClearedMs ?? Number.NEGATIVE_INFINITY) - CLOCK_DIFFERENCE_MS,
        foreignFirstMs: undefined,
        fleet: NO_CLEARANCES,
        removedAtMs: Number.NEGATIVE_INFINITY,
        refutedSinceMs: undefined,
        isQuarantined: false,
    };
}

/** Finds the crash with the least time to the one before it, so that those that are left show the longest time. */
function findClosestCrash(crashes: ReadonlyMap<string, number>): string {
    const sorted = [...crashes].sort(([, left], [, right]) => left - right);
    const gaps = sorted.map(([key, atMs], index) => ({ key, ms: atMs - (sorted[index - 1]?.[1] ?? -Infinity) }));
    return gaps.reduce((least, gap) => (gap.ms < least.ms ? gap : least)).key;
}

function trimSet(keys: Set<string>): void {
    if (keys.size > KEYS_MAX) {
        keys.delete(keys.keys().next().value ?? "");
    }
}

/** Tells whether a reported crash is recent, or released recently. */
function isKeptAge(ageMs: number): boolean {
    return ageMs <= QUARANTINE_MEMORY_MS || isReleasedAge(ageMs);
}

function isReleasedAge(ageMs: number): boolean {
    return ageMs >= RELEASED_AGE_MS && ageMs <= RELEASED_AGE_MS + QUARANTINE_MEMORY_MS;
}

/** Sorts parts by the weight of their evidence: quarantined ones, then those with most crashes, then the newest. */
function sortEntries(entries: ReadonlyMap<string, Entry>): readonly (readonly [string, Entry])[] {
    const weigh = (entry: Entry) => (entry.isQuarantined ? CRASHES_MAX + 1 : 0) + entry.crashes.size;
    const findNewestMs = (entry: Entry) => Math.max(Number.NEGATIVE_INFINITY, ...entry.crashes.values());
    return [...entries].sort(
        ([, left], [, right]) => weigh(right) - weigh(left) || findNewestMs(right) - findNewestMs(left) || 0,
    );
}

/** Counts the recent crashes that neither the part nor a quarantined one was part of. */
function countOtherCrashes(entries: ReadonlyMap<string, Entry>, own: Entry, nowMs: number): number {
    const others = new Set<string>();
    for (const entry of entries.values()) {
        for (const [key, atMs] of entry.crashes) {
            if (nowMs - atMs < OTHER_CRASHES_PERIOD_MS) {
                others.add(key);
            }
        }
    }
    for (const entry of entries.values()) {
        if (entry === own || entry.isQuarantined) {
            entry.seenKeys.forEach(key => others.delete(key));
        }
    }
    return others.size;
}
