/**
 * @module Decides from the evidence on a prompt part whether requests with it may be sent to endpoints.
 */

/** What is known about a prompt part that was in progress at endpoints when they crashed. */
export interface PartFacts {
    /** Monotonic times of the crashes that nothing else explains and no answer refutes, the first one first. */
    readonly crashTimes: readonly number[];
    /** Answers with this part that began, at this node or at all nodes, at endpoints that lived on. */
    readonly answers: number;
    /** True if answers with this part began at this node recently, or often at any node. */
    readonly isFamiliar: boolean;
    /** Recent crashes of endpoints without a request that has this part. */
    readonly otherCrashes: number;
    /** Answers without this part that began at this node after the first crash. */
    readonly controls: number;
    /** True if the part is in quarantine already. */
    readonly isQuarantined: boolean;
}

/** What may be done with a request. */
export enum PartVerdict {
    /** It may be sent and repeated. */
    Free = "free",
    /** One may be sent at a time, and may not be repeated. */
    Careful = "careful",
    /** Nothing may be sent until other nodes' evidence has arrived. */
    Held = "held",
    /** Nothing may be sent until the quarantine ends. */
    Quarantined = "quarantined",
}

/** A verdict, with the time until it may change. */
export interface PartDecision {
    readonly verdict: PartVerdict;
    /** 0 if a request may be sent now. */
    readonly waitMs: number;
}

/** Time in which the clearances of other nodes arrive. */
export const EVIDENCE_SETTLE_MS = 1_000;
/** Crashes within this time of each other count as one: they may have a common cause, such as a failed rack. */
const COMMON_CAUSE_MS = 250;
/** Crashes that convict a part. */
const CRASHES_MIN = 2;
const CRASHES_MAX = 4;
/** One more crash is needed for each of this many that occurred without the part. */
const OTHER_CRASHES_STEP = 4;
/** Answers before the crashes above which one more crash is needed. */
const ANSWERS_MAX = 20;
/** Answers without the part that show that endpoints can answer at all; needed only against familiar parts. */
const CONTROLS_MIN = 3;

/** Duration of a quarantine after a crash; it doubles with each failed try. */
const HOLD_INITIAL_MS = 60_000;
const HOLD_MAX_MS = 480_000;
/** A crash this long after the former one was caused by a try. */
const TRY_GAP_MS = HOLD_INITIAL_MS / 2;

/** Time in which on average one node makes a try, for a suspected and for a quarantined part. */
const SUSPECT_SLOT_MS = 400;
const SUSPECT_SLOTS_MAX_MS = 6_000;
const QUARANTINE_SLOT_MS = 1_000;
const QUARANTINE_SLOTS_MAX_MS = 90_000;

const FREE: PartDecision = { verdict: PartVerdict.Free, waitMs: 0 };

/**
 * Decides whether the evidence suffices for a quarantine.
 *
 * @param facts - The evidence
 * @param nowMs - Monotonic time
 * @returns True if the part crashes endpoints
 * @example
 * isConvicted(facts, nowMs);
 */
export function isConvicted(facts: PartFacts, nowMs: number): boolean {
    const crashes = countSeparateCrashes(facts.crashTimes);
    const needed =
        CRASHES_MIN + (facts.answers > ANSWERS_MAX ? 1 : 0) + Math.floor(facts.otherCrashes / OTHER_CRASHES_STEP);
    const isSettled = nowMs - (facts.crashTimes[0] ?? nowMs) >= EVIDENCE_SETTLE_MS;
    const hasControls = !facts.isFamiliar || facts.controls >= CONTROLS_MIN;
    return crashes >= Math.min(CRASHES_MAX, needed) && isSettled && hasControls;
}

/**
 * Decides whether a request with a part may be sent.
 *
 * @param facts - The evidence on the part; `undefined` without any
 * @param slot - Place of this node among all nodes, from 0 to 1, and their number; spreads the tries of nodes over time
 * @param nowMs - Monotonic time
 * @returns The decision
 * @example
 * evaluatePart(facts, { share: 0.4, nodes: 9 }, nowMs).verdict;
 */
export function evaluatePart(
    facts: PartFacts | undefined,
    slot: { readonly share: number; readonly nodes: number },
    nowMs: number,
): PartDecision {
    const lastCrashMs = facts?.crashTimes.at(-1);
    if (facts === undefined || lastCrashMs === undefined) {
        return FREE;
    }
    if (facts.isQuarantined) {
        const spreadMs = Math.min(QUARANTINE_SLOTS_MAX_MS, slot.nodes * QUARANTINE_SLOT_MS);
        const waitMs = computeHoldMs(facts.crashTimes) + slot.share * spreadMs;
        return decideWait(PartVerdict.Quarantined, lastCrashMs + waitMs - nowMs);
    }
    if (facts.isFamiliar) {
        const isRepeated = countSeparateCrashes(facts.crashTimes) >= CRASHES_MIN;
        return isRepeated ? { verdict: PartVerdict.Careful, waitMs: 0 } : FREE;
    }
    const spreadMs = Math.min(SUSPECT_SLOTS_MAX_MS, slot.nodes * SUSPECT_SLOT_MS);
    return decideWait(PartVerdict.Held, lastCrashMs + EVIDENCE_SETTLE_MS + slot.share * spreadMs - nowMs);
}

/**
 * Computes how long a quarantine lasts after its last crash.
 *
 * @param crashTimes - Monotonic times of the crashes, the first one first
 * @returns Milliseconds, doubled for each crash that a try has caused
 * @example
 * computeHoldMs([0, 700]); //=> 60_000
 */
export function computeHoldMs(crashTimes: readonly number[]): number {
    return Math.min(HOLD_MAX_MS, HOLD_INITIAL_MS * 2 ** countGaps(crashTimes, TRY_GAP_MS));
}

function decideWait(verdict: PartVerdict, waitMs: number): PartDecision {
    return waitMs > 0 ? { verdict, waitMs } : { verdict: PartVerdict.Careful, waitMs: 0 };
}

function countSeparateCrashes(times: readonly number[]): number {
    return times.length === 0 ? 0 : 1 + countGaps(times, COMMON_CAUSE_MS);
}

function countGaps(times: readonly number[], minimumMs: number): number {
    return times.filter((atMs, index) => index > 0 && atMs - (times[index - 1] ?? atMs) >= minimumMs).length;
}
