/**
 * @module The evidence of a node on prompt parts that crash endpoints: its own, merged with that of the fleet.
 */
import type { PartEvidence } from "../relays/news";
import { createClearanceMemory } from "./createClearanceMemory";
import { isConvicted, type PartFacts } from "./evaluatePart";

/** What a node knows. It reads no clock; all times are monotonic times of this node. */
export interface PartEvidenceBook {
    /** Records an answer that began, at an endpoint that lived on. */
    recordClearance(parts: readonly string[], beganAtMs: number, nowMs: number): void;
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
    /** Gives the same facts, but doesn't keep a conviction that they show. */
    readFacts(part: string, nowMs: number): PartFacts | undefined;
    /** Tells whether a part has evidence at all; quick, for each attempt. */
    hasEvidence(part: string): boolean;
    isFamiliar(part: string, nowMs: number): boolean;
    /** Lists the parts with evidence. */
    listParts(): readonly string[];
    /** Lists the keys of the crashes of a part since its last answer, those that another part explains included. */
    listCrashKeys(part: string): readonly string[];
}

/** A part explains the crashes of another one if the blame of that one is below this share of its own. */
const BLAME_MARGIN = 0.75;
/** Limits on what is kept. */
const PARTS_MAX = 64;
const CRASHES_MAX = 5;
const KEYS_MAX = 32;
/** Time after its last crash for which a suspected, and for which a quarantined part is remembered. */
const SUSPICION_MEMORY_MS = 120_000;
const QUARANTINE_MEMORY_MS = 580_000;
/** A crash that an answer refutes is reported under its key with this suffix, for this long after the answer. */
const REFUTED_SUFFIX = "!";
const REFUTED_MEMORY_MS = 60_000;
/** An answer refutes crashes until shortly before its begin, since the nodes' times differ. */
const CLOCK_DIFFERENCE_MS = 200;
/** Answers within this time, or in all, by which a part is familiar. */
const FAMILIAR_PERIOD_MS = 10_000;
const FAMILIAR_RECENT_MIN = 3;
const FAMILIAR_EARLIER_MIN = 20;
/** Time in which crashes without a part count against its conviction. */
const OTHER_CRASHES_PERIOD_MS = 30_000;

interface Entry {
    /** Time of each crash, by its key. */
    readonly crashes: Map<string, number>;
    /** Keys of all crashes since the last answer, those that left the list included. */
    readonly seenKeys: Set<string>;
    /** Time at which each crash was refuted, by its key. */
    readonly refuted: Map<string, number>;
    /** Crashes until this time are refuted by answers of this node. */
    refutedUntilMs: number;
    /** Answers with this part at all nodes, as last reported. */
    fleetAnswers: number;
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
    const refuteCrash = (entry: Entry, key: string, atMs: number) => {
        entry.refuted.set(key, Math.max(atMs, entry.refuted.get(key) ?? atMs));
        trimOldest(entry.refuted);
        entry.crashes.delete(key);
        if (entry.crashes.size === 0) {
            entry.seenKeys.clear();
            entry.isQuarantined = false;
        }
    };
    const refuteUntil = (entry: Entry, untilMs: number, nowMs: number) => {
        entry.refutedUntilMs = Math.max(entry.refutedUntilMs, untilMs);
        [...entry.crashes].filter(([, atMs]) => atMs <= untilMs).forEach(([key]) => refuteCrash(entry, key, nowMs));
    };
    const addCrash = (part: string, key: string, atMs: number, nowMs: number) => {
        const entry = ensureEntry(part);
        const earliestMs = Math.min(atMs, entry.crashes.get(key) ?? atMs);
        if (entry.refuted.has(key)) {
            return;
        }
        if (earliestMs <= entry.refutedUntilMs) {
            refuteCrash(entry, key, nowMs);
            return;
        }
        entry.crashes.set(key, earliestMs);
        entry.seenKeys.add(key);
        trimOldest(entry.seenKeys);
        if (entry.crashes.size > CRASHES_MAX) {
            entry.crashes.delete(findClosestCrash(entry.crashes));
        }
    };
    /** Computes how much speaks against a part: its crashes for each answer. */
    const computeBlame = (part: string, { seenKeys, fleetAnswers }: Entry) =>
        seenKeys.size / (1 + Math.max(memory.countAll(part), fleetAnswers));
    /**
     * Gives the times of the crashes that no other part explains. A part explains its crashes
     * if it has at least as many and is far more to blame.
     */
    const listCrashTimes = (part: string, entry: Entry): readonly number[] => {
        const blame = computeBlame(part, entry);
        const explained = new Set<string>();
        for (const [otherPart, other] of entries) {
            const hasAsMany = other.seenKeys.size >= entry.seenKeys.size;
            if (hasAsMany && computeBlame(otherPart, other) * BLAME_MARGIN > blame) {
                [...other.crashes.keys()].forEach(key => explained.add(key));
            }
        }
        return [...entry.crashes]
            .filter(([key]) => !explained.has(key))
            .map(([, atMs]) => atMs)
            .sort((left, right) => left - right);
    };
    const isFamiliar = (part: string, nowMs: number) =>
        memory.countSince(part, nowMs - FAMILIAR_PERIOD_MS) >= FAMILIAR_RECENT_MIN ||
        (entries.get(part)?.fleetAnswers ?? 0) >= FAMILIAR_EARLIER_MIN;
    const buildFacts = (part: string, entry: Entry, nowMs: number): PartFacts => {
        const crashTimes = listCrashTimes(part, entry);
        return {
            crashTimes,
            answers: Math.max(memory.countAll(part), entry.fleetAnswers),
            isFamiliar: isFamiliar(part, nowMs),
            otherCrashes: countOtherCrashes(entries, entry, nowMs),
            controls: memory.countOthersSince(part, crashTimes[0] ?? nowMs),
            isQuarantined: entry.isQuarantined,
        };
    };
    const evaluateEntry = (part: string, entry: Entry, nowMs: number): PartFacts => {
        const facts = buildFacts(part, entry, nowMs);
        const isQuarantined = facts.crashTimes.length > 0 && (entry.isQuarantined || isConvicted(facts, nowMs));
        return { ...facts, isQuarantined };
    };
    const refreshEntry = (part: string, entry: Entry, nowMs: number): PartFacts => {
        const facts = evaluateEntry(part, entry, nowMs);
        entry.isQuarantined = facts.isQuarantined;
        return facts;
    };
    const removeExcess = (nowMs: number) => {
        const sorted = sortEntries(entries);
        sorted.slice(PARTS_MAX).forEach(([part]) => entries.delete(part));
        for (const [part, entry] of sorted) {
            const memoryMs = entry.isQuarantined ? QUARANTINE_MEMORY_MS : SUSPICION_MEMORY_MS;
            const isOver = [...entry.crashes.values()].every(atMs => nowMs - atMs > memoryMs);
            if (isOver && [...entry.refuted.values()].every(atMs => nowMs - atMs > REFUTED_MEMORY_MS)) {
                entries.delete(part);
            }
        }
    };
    const refreshAll = (nowMs: number) => {
        entries.forEach((entry, part) => refreshEntry(part, entry, nowMs));
        removeExcess(nowMs);
    };
    return {
        recordClearance: (parts, beganAtMs, nowMs) => {
            memory.recordClearance(parts, beganAtMs);
            for (const part of parts) {
                const entry = entries.get(part);
                if (entry !== undefined) {
                    refuteUntil(entry, beganAtMs - CLOCK_DIFFERENCE_MS, nowMs);
                }
            }
        },
        recordCrash: (key, parts, atMs) => {
            parts.forEach(part => addCrash(part, key, atMs, atMs));
            removeExcess(atMs);
        },
        merge: (evidence, nowMs) => {
            for (const [part, { crashes, clearances, earlierClearances }] of Object.entries(evidence)) {
                for (const [key, ageMs] of Object.entries(crashes)) {
                    if (key.endsWith(REFUTED_SUFFIX)) {
                        refuteCrash(ensureEntry(part), key.slice(0, -REFUTED_SUFFIX.length), nowMs - ageMs);
                    } else {
                        addCrash(part, key, nowMs - ageMs, nowMs);
                    }
                }
                ensureEntry(part).fleetAnswers = clearances + earlierClearances;
            }
            refreshAll(nowMs);
        },
        readEvidence: nowMs => {
            refreshAll(nowMs);
            return Object.fromEntries(
                sortEntries(entries).map(([part, entry]) => {
                    const crashes = listReportedCrashes(entry, nowMs);
                    const firstMs = Math.min(nowMs, ...entry.crashes.values());
                    const clearances = memory.countSince(part, firstMs);
                    return [part, { crashes, clearances, earlierClearances: memory.countAll(part) - clearances }];
                }),
            );
        },
        release: (part, nowMs) => {
            const entry = entries.get(part);
            if (entry !== undefined) {
                refuteUntil(entry, nowMs, nowMs);
            }
        },
        findFacts: (part, nowMs) => {
            const entry = entries.get(part);
            if (entry === undefined) {
                return undefined;
            }
            const facts = refreshEntry(part, entry, nowMs);
            return facts.crashTimes.length === 0 ? undefined : facts;
        },
        readFacts: (part, nowMs) => {
            const entry = entries.get(part);
            const facts = entry === undefined ? undefined : evaluateEntry(part, entry, nowMs);
            return facts?.crashTimes.length === 0 ? undefined : facts;
        },
        hasEvidence: part => entries.has(part),
        isFamiliar,
        listParts: () => [...entries.keys()],
        listCrashKeys: part => [...(entries.get(part)?.crashes.keys() ?? [])],
    };
}

function createEntry(lastClearedMs: number | undefined): Entry {
    return {
        crashes: new Map(),
        seenKeys: new Set(),
        refuted: new Map(),
        refutedUntilMs: (lastClearedMs ?? Number.NEGATIVE_INFINITY) - CLOCK_DIFFERENCE_MS,
        fleetAnswers: 0,
        isQuarantined: false,
    };
}

/** Lists the ages of an entry's crashes, and those of the recent refutations under their own keys. */
function listReportedCrashes({ crashes, refuted }: Entry, nowMs: number): Readonly<Record<string, number>> {
    const recent = [...refuted].filter(([, atMs]) => nowMs - atMs <= REFUTED_MEMORY_MS);
    const renamed = recent.map(([key, atMs]): [string, number] => [key + REFUTED_SUFFIX, atMs]);
    return Object.fromEntries(
        [...crashes, ...renamed.slice(-CRASHES_MAX)].map(([key, atMs]) => [key, Math.max(0, nowMs - atMs)]),
    );
}

/** Finds the crash with the least time to the one before it, so that those that are left show the longest time. */
function findClosestCrash(crashes: ReadonlyMap<string, number>): string {
    const sorted = [...crashes].sort(([, left], [, right]) => left - right);
    const gaps = sorted.map(([key, atMs], index) => ({ key, ms: atMs - (sorted[index - 1]?.[1] ?? -Infinity) }));
    return gaps.reduce((least, gap) => (gap.ms < least.ms ? gap : least)).key;
}

function trimOldest(keys: Set<string> | Map<string, number>): void {
    if (keys.size > KEYS_MAX) {
        keys.delete(keys.keys().next().value ?? "");
    }
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
