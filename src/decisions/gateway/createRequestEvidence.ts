/**
 * @module The evidence of a node on single requests that crash endpoints, whichever prompt parts they share with others.
 */
import { evaluatePart, isConvicted, type PartDecision, type PartFacts, PartVerdict } from "./evaluatePart";

/** A request that was in progress at a crash. */
export interface CrashedRequest {
    /** The same for all repeats of a request, by the gateway or by its caller. */
    readonly identity: string;
    /** Ids of the parts that other requests may have as well. */
    readonly parts: readonly string[];
    /** Keys of all crashes that it was in progress at, by former attempts too; equal requests of others don't count. */
    readonly keys: readonly string[];
}

/** What a node knows of requests. It reads no clock; all times are monotonic times of this node. */
export interface RequestEvidenceBook {
    /** Records a crash of an endpoint, with a request that may have caused it if there is one. */
    recordCrash(key: string, request: CrashedRequest | undefined, atMs: number): void;
    /** Records an answer that began, at an endpoint that lived on; it refutes the crashes before it. */
    recordAnswer(identity: string, beganAtMs: number): void;
    /** Computes the time until it is known whether other endpoints crashed without a request as well; 0: it is known. */
    computeSettleMs(identity: string, nowMs: number): number;
    /** Decides whether a request may be sent, and sent again; what isn't settled counts as nothing. */
    decideRequest(identity: string, nowMs: number): PartDecision;
    /** Tells whether a request was in progress at each of these crashes. */
    hasCrashes(identity: string, keys: readonly string[]): boolean;
    /** Tells whether another request with the part was in progress at each of these crashes. */
    hasOtherSuspect(part: string, keys: readonly string[], identity: string): boolean;
    /** Tells whether nothing is known of any request. */
    isEmpty(): boolean;
    /** Tells whether anything is known of a request. */
    hasEvidence(identity: string): boolean;
    /** Lists the requests with evidence. */
    listIdentities(): readonly string[];
}

/** Crashes of one request before it is held, at most, however many endpoints crash without it. */
const CRASHES_MIN = 2;
const CRASHES_MAX = 4;
/** Crashes without a request, about when it crashed endpoints, that show another cause. */
const WAVE_CRASHES_MIN = 2;
const WAVE_PERIOD_MS = 1_000;
/** Time in which the other crashes of a wave are seen: connections to its endpoints break some milliseconds apart. */
const SETTLE_MS = 250;
/** Crashes of equal requests this far apart make them suspect also if none was sent again. */
const SEPARATE_MS = 250;
/** Time in which crashes without a request count against its conviction. */
const OTHER_CRASHES_PERIOD_MS = 30_000;
/** Time after its last crash for which a request is remembered: longer if it has crashed several endpoints. */
const SINGLE_MEMORY_MS = 120_000;
const REPEATED_MEMORY_MS = 580_000;
/** Limits on what is kept. */
const REQUESTS_MAX = 256;
const ENDPOINT_CRASHES_MAX = 256;
const KEYS_MAX = 8;

const FREE: PartDecision = { verdict: PartVerdict.Free, waitMs: 0 };
/** Evidence on requests isn't exchanged, so that no turns of other nodes have to be waited for. */
const ONLY_NODE = { share: 0, nodes: 1 };

interface Entry {
    /** Time of each crash, by its key. */
    readonly crashes: Map<string, number>;
    readonly parts: readonly string[];
    /** Keys of the crashes by attempts of a single request that was in progress at several. */
    readonly repeatedKeys: Set<string>;
}

/**
 * Creates an empty book of evidence on requests.
 *
 * @returns The book
 * @example
 * book.recordCrash("1x7f", { identity: "9a0c", parts: [], keys: ["1x7f"] }, nowMs);
 */
export function createRequestEvidence(): RequestEvidenceBook {
    const entries = new Map<string, Entry>();
    /** Time of each crash that this node saw, by its key. */
    const endpointCrashes = new Map<string, number>();

    const removeExcess = (nowMs: number) => {
        for (const [identity, { crashes }] of entries) {
            const memoryMs = crashes.size >= CRASHES_MIN ? REPEATED_MEMORY_MS : SINGLE_MEMORY_MS;
            if ([...crashes.values()].every(atMs => nowMs - atMs > memoryMs)) {
                entries.delete(identity);
            }
        }
        if (entries.size > REQUESTS_MAX) {
            const sorted = [...entries].sort(([, left], [, right]) => left.crashes.size - right.crashes.size);
            sorted.slice(0, entries.size - REQUESTS_MAX).forEach(([identity]) => entries.delete(identity));
        }
    };
    /** Lists the crashes without requests that have crashed endpoints again, and without those in a list. */
    const listOtherCrashes = (keys: readonly string[]): readonly number[] => {
        const others = new Map(endpointCrashes);
        keys.forEach(key => others.delete(key));
        entries.forEach(({ repeatedKeys }) => repeatedKeys.forEach(key => others.delete(key)));
        return [...others.values()];
    };
    /**
     * Tells whether another request was in progress at all these crashes, so that either may be the cause. Times are
     * compared as well, since an endpoint that is back may crash again before its new instance is known.
     */
    const hasCompanion = (own: Entry, keys: readonly string[]) => {
        const isAtSameTime = (entry: Entry, key: string) =>
            Math.abs((entry.crashes.get(key) ?? Number.NaN) - (own.crashes.get(key) ?? Number.NaN)) < SETTLE_MS;
        return [...entries.values()].some(entry => entry !== own && keys.every(key => isAtSameTime(entry, key)));
    };
    const isSuspect = (entry: Entry): boolean => {
        const keys = listSuspectCrashes(entry);
        if (keys.length < CRASHES_MIN) {
            return false;
        }
        const times = listTimes(entry, keys);
        const isInWave = (atMs: number) => times.some(ownMs => Math.abs(ownMs - atMs) <= WAVE_PERIOD_MS);
        const isWave = listOtherCrashes(keys).filter(isInWave).length >= WAVE_CRASHES_MIN;
        return keys.length >= CRASHES_MAX || (!isWave && !hasCompanion(entry, keys));
    };
    const computeSettleMs = (identity: string, nowMs: number) => {
        const entry = entries.get(identity);
        const times = entry === undefined ? [] : listTimes(entry, listSuspectCrashes(entry));
        return Math.max(0, ...times.map(atMs => atMs + SETTLE_MS - nowMs));
    };
    return {
        recordCrash: (key, request, atMs) => {
            endpointCrashes.set(key, Math.min(atMs, endpointCrashes.get(key) ?? atMs));
            trimOldest(endpointCrashes, ENDPOINT_CRASHES_MAX);
            if (request !== undefined) {
                const { identity, parts, keys } = request;
                const entry = entries.get(identity) ?? { crashes: new Map(), parts, repeatedKeys: new Set() };
                entries.set(identity, entry);
                entry.crashes.set(key, Math.min(atMs, entry.crashes.get(key) ?? atMs));
                trimOldest(entry.crashes, KEYS_MAX);
                if (keys.length >= CRASHES_MIN) {
                    keys.forEach(repeated => entry.repeatedKeys.add(repeated));
                }
                removeExcess(atMs);
            }
        },
        recordAnswer: (identity, beganAtMs) => {
            const entry = entries.get(identity);
            if (entry !== undefined) {
                const refuted = [...entry.crashes].filter(([, atMs]) => atMs <= beganAtMs);
                refuted.forEach(([key]) => {
                    entry.crashes.delete(key);
                    entry.repeatedKeys.delete(key);
                });
                if (entry.crashes.size === 0) {
                    entries.delete(identity);
                }
            }
        },
        decideRequest: (identity, nowMs) => {
            const entry = entries.get(identity);
            if (entry === undefined || computeSettleMs(identity, nowMs) > 0 || !isSuspect(entry)) {
                return FREE;
            }
            const crashTimes = [...entry.crashes.values()].sort((left, right) => left - right);
            const others = listOtherCrashes([...entry.crashes.keys()]);
            const facts: PartFacts = {
                crashTimes,
                answers: 0,
                isFamiliar: false,
                otherCrashes: others.filter(atMs => nowMs - atMs < OTHER_CRASHES_PERIOD_MS).length,
                controls: 0,
                isQuarantined: false,
            };
            return evaluatePart({ ...facts, isQuarantined: isConvicted(facts, nowMs) }, ONLY_NODE, nowMs);
        },
        computeSettleMs,
        hasCrashes: (identity, keys) => {
            const entry = entries.get(identity);
            return entry !== undefined && hasAllKeys(entry, keys);
        },
        hasOtherSuspect: (part, keys, identity) =>
            [...entries].some(
                ([other, entry]) => other !== identity && entry.parts.includes(part) && hasAllKeys(entry, keys),
            ),
        isEmpty: () => entries.size === 0,
        hasEvidence: identity => entries.has(identity),
        listIdentities: () => [...entries.keys()],
    };
}

/** Lists the crashes that may be due to a request: by its own repeats, or else by equal requests at other times. */
function listSuspectCrashes({ crashes, repeatedKeys }: Entry): readonly string[] {
    const repeated = [...crashes.keys()].filter(key => repeatedKeys.has(key));
    if (repeated.length >= CRASHES_MIN) {
        return repeated;
    }
    const times = [...crashes.values()];
    return Math.max(...times) - Math.min(...times) >= SEPARATE_MS ? [...crashes.keys()] : [];
}

function listTimes({ crashes }: Entry, keys: readonly string[]): readonly number[] {
    return keys.flatMap(key => crashes.get(key) ?? []);
}

function hasAllKeys({ crashes }: Entry, keys: readonly string[]): boolean {
    return keys.every(key => crashes.has(key));
}

function trimOldest(keys: Map<string, number>, max: number): void {
    if (keys.size > max) {
        keys.delete(keys.keys().next().value ?? "");
    }
}
