/**
 * @module The quarantine of prompt parts that crash endpoints: asked before each attempt, and told how each one ends.
 */
import { HttpStatus } from "../../adapters/_lib/httpStatus";
import type { Clock } from "../../base/clock";
import type { DumpSource } from "../../base/dump";
import { hashText } from "../../base/hashText";
import type { Log } from "../../base/log/log";
import { createPartEvidence, type PartEvidenceBook } from "../../decisions/gateway/createPartEvidence";
import { AttemptOutcome } from "../../decisions/gateway/decideNextAction";
import { evaluatePart, type PartDecision, type PartFacts, PartVerdict } from "../../decisions/gateway/evaluatePart";
import type { PartEvidence } from "../../decisions/relays/news";
import { createCrashWatch, type CrashWatchOptions } from "./createCrashWatch";
import type { GatewayMetrics } from "../process/createGatewayMetrics";
import type { EndpointRecord } from "../endpoints/endpointRecord";
import { type AttemptResult, ConnectionEnd } from "../forwarding/sendAttempt";

/** Whether an attempt may be made. */
export interface AttemptAdmission {
    readonly verdict: PartVerdict;
    /** Present only if no attempt may be made now: the time after which one may be. */
    readonly retryAfterMs?: number;
}

/** An attempt that the quarantine follows. */
export interface FollowedAttempt {
    /** Records that the answer began. */
    recordFirstPart(): void;
    /** Records the end; gives true if a part of the request may have crashed the endpoint. */
    finish(result: AttemptResult): Promise<boolean>;
}

/** The quarantine of a node. */
export interface PartQuarantine extends DumpSource {
    /** Decides whether a request with these shared parts may be sent to an endpoint now. */
    admitAttempt(parts: readonly string[]): AttemptAdmission;
    /** Explains what `admitAttempt` would decide by the evidence taken so far; counts and changes nothing. */
    explainAttempt(parts: readonly string[]): AttemptAdmission;
    /** Follows an attempt from its begin. */
    beginAttempt(record: EndpointRecord, parts: readonly string[]): FollowedAttempt;
    /** Gives what this node reports to the fleet: all crashes that it knows, and its own clearances. */
    readEvidence(): Readonly<Record<string, PartEvidence>>;
    /** Takes the sums of the fleet's evidence. */
    mergeEvidence(evidence: Readonly<Record<string, PartEvidence>>): void;
    /** Tells whether anything speaks against a part. */
    hasEvidence(part: string): boolean;
    /** Frees a part at an operator's order, at all nodes. */
    releasePart(part: string): void;
}

/** What the quarantine depends on. */
export interface PartQuarantineOptions extends Pick<CrashWatchOptions, "directory" | "isRefusing"> {
    readonly nodeName: string;
    /** Counts the nodes of the fleet, this one included. */
    readonly readNodeCount: () => number;
    readonly clock: Clock;
    readonly metrics: Pick<GatewayMetrics, "countPromptRefusal" | "setPromptParts">;
    readonly log: Log;
}

/** An answer clears its parts once its endpoint has lived on for this long. */
const SURVIVAL_MS = 300;
/** An answer that began this shortly before the crash may have caused it. */
const JUST_BEGUN_MS = 150;
/** Retry delay if another request with the part is in progress. */
const BUSY_RETRY_AFTER_MS = 500;

const ADMITTED: AttemptAdmission = { verdict: PartVerdict.Free };
const NOT_FOLLOWED: FollowedAttempt = { recordFirstPart: () => undefined, finish: () => Promise.resolve(false) };

interface OpenAttempt {
    readonly parts: readonly string[];
    firstPartAtMs: number | undefined;
    hasEnded: boolean;
    isCleared: boolean;
}

/**
 * Creates a quarantine without evidence.
 *
 * @param options - Dependencies
 * @returns The quarantine
 * @example
 * if (quarantine.admitAttempt(listSharedParts(promptParts)).retryAfterMs === undefined) { ... }
 */
export function createPartQuarantine(options: PartQuarantineOptions): PartQuarantine {
    const { nodeName, clock, metrics, log } = options;
    const evidence = createPartEvidence();
    /** The requests with suspected parts in progress that may still crash their endpoints, by part. */
    const careful = new Map<string, OpenAttempt>();
    /** Attempts whose answers began less than `SURVIVAL_MS` ago, the first one first. */
    const surviving: OpenAttempt[] = [];
    const reportChanges = createChangeReporter(evidence, metrics, log);

    const clearAttempt = (attempt: OpenAttempt, beganAtMs: number) => {
        attempt.isCleared = true;
        evidence.recordClearance(attempt.parts, beganAtMs, clock.readMonotonicMs());
        releaseCareful(attempt);
    };
    const releaseCareful = (attempt: OpenAttempt) => {
        attempt.parts.filter(part => careful.get(part) === attempt).forEach(part => careful.delete(part));
    };
    const clearSurvivors = () => {
        const nowMs = clock.readMonotonicMs();
        for (let [first] = surviving; first !== undefined; [first] = surviving) {
            if (!first.hasEnded && nowMs - (first.firstPartAtMs ?? nowMs) < SURVIVAL_MS) {
                return;
            }
            surviving.shift();
            if (!first.hasEnded) {
                clearAttempt(first, first.firstPartAtMs ?? nowMs);
            }
        }
    };
    const decideByFacts = (part: string, facts: PartFacts | undefined, nowMs: number): PartDecision => {
        const slot = { share: hashText(`${nodeName}|${part}`) / 2 ** 32, nodes: Math.max(1, options.readNodeCount()) };
        return evaluatePart(facts, slot, nowMs);
    };
    const decidePart = (part: string, nowMs: number): PartDecision =>
        decideByFacts(part, evidence.findFacts(part, nowMs), nowMs);
    const decideAdmission = (
        parts: readonly string[],
        decide: (part: string, nowMs: number) => PartDecision,
    ): AttemptAdmission => {
        const nowMs = clock.readMonotonicMs();
        const decisions = parts.filter(part => evidence.hasEvidence(part)).map(part => decide(part, nowMs));
        const [worst] = [...decisions].sort((left, right) => right.waitMs - left.waitMs);
        if (worst === undefined || decisions.every(({ verdict }) => verdict === PartVerdict.Free)) {
            return ADMITTED;
        }
        const isBusy = parts.some(part => careful.has(part));
        if (worst.waitMs === 0 && !isBusy) {
            return { verdict: PartVerdict.Careful };
        }
        const verdict = worst.waitMs === 0 ? PartVerdict.Held : worst.verdict;
        return { verdict, retryAfterMs: Math.max(BUSY_RETRY_AFTER_MS, worst.waitMs) };
    };
    const crashes = createCrashWatch({
        ...options,
        handleCrash: (key, { parts }, atMs) => {
            evidence.recordCrash(key, parts, atMs);
            reportChanges(clock.readMonotonicMs());
        },
    });
    const isSuspected = (part: string, nowMs: number) =>
        evidence.hasEvidence(part) && decidePart(part, nowMs).verdict !== PartVerdict.Free;

    return {
        name: "quarantine",
        admitAttempt: parts => {
            clearSurvivors();
            const admission = decideAdmission(parts, decidePart);
            if (admission.retryAfterMs !== undefined) {
                metrics.countPromptRefusal(admission.verdict);
            }
            return admission;
        },
        explainAttempt: parts =>
            decideAdmission(parts, (part, nowMs) => decideByFacts(part, evidence.readFacts(part, nowMs), nowMs)),
        beginAttempt: (record, parts) => {
            if (parts.length === 0) {
                return NOT_FOLLOWED;
            }
            const attempt: OpenAttempt = { parts, firstPartAtMs: undefined, hasEnded: false, isCleared: false };
            const beganAtMs = clock.readMonotonicMs();
            const suspected = parts.filter(part => isSuspected(part, beganAtMs));
            suspected.forEach(part => careful.set(part, attempt));
            if (suspected.length > 0) {
                log.info("request with a suspected prompt part is tried", {
                    parts: suspected.join(","),
                    endpointId: record.endpoint.id,
                });
            }
            return {
                recordFirstPart: () => {
                    attempt.firstPartAtMs = clock.readMonotonicMs();
                    surviving.push(attempt);
                },
                finish: async result => {
                    const nowMs = clock.readMonotonicMs();
                    const { firstPartAtMs } = attempt;
                    attempt.hasEnded = true;
                    const hasSurvived = firstPartAtMs !== undefined && nowMs - firstPartAtMs >= SURVIVAL_MS;
                    if (firstPartAtMs !== undefined && !attempt.isCleared) {
                        if (isWholeAnswer(result) || hasSurvived) {
                            clearAttempt(attempt, firstPartAtMs);
                        }
                    }
                    releaseCareful(attempt);
                    if (result.connection !== ConnectionEnd.Broken) {
                        return false;
                    }
                    const isSuspect = firstPartAtMs === undefined || nowMs - firstPartAtMs < JUST_BEGUN_MS;
                    const whenKnown = crashes.recordBreak(record, { parts, isSuspect });
                    const isUnfamiliar = parts.some(part => !evidence.isFamiliar(part, nowMs));
                    if (!isSuspect || (!isUnfamiliar && !parts.some(part => isSuspected(part, nowMs)))) {
                        return false;
                    }
                    return (await whenKnown) && parts.some(part => isSuspected(part, clock.readMonotonicMs()));
                },
            };
        },
        readEvidence: () => {
            clearSurvivors();
            const nowMs = clock.readMonotonicMs();
            const own = evidence.readEvidence(nowMs);
            reportChanges(nowMs);
            return own;
        },
        mergeEvidence: fleet => {
            clearSurvivors();
            const nowMs = clock.readMonotonicMs();
            evidence.merge(fleet, nowMs);
            reportChanges(nowMs);
        },
        hasEvidence: part => evidence.hasEvidence(part),
        releasePart: part => {
            const nowMs = clock.readMonotonicMs();
            log.warn("prompt part released by an operator", { part });
            evidence.release(part, nowMs);
            reportChanges(nowMs);
        },
        dumpState: () => {
            const nowMs = clock.readMonotonicMs();
            return evidence
                .listParts()
                .map(part => ({ part, facts: evidence.findFacts(part, nowMs), decision: decidePart(part, nowMs) }));
        },
    };
}

/** Tells whether the endpoint has answered the prompt; a failure may be sent without any work on it. */
function isWholeAnswer({ end, answer }: AttemptResult): boolean {
    const isSuccess = answer !== undefined && answer.status < HttpStatus.BadRequest;
    return end === AttemptOutcome.Relayed || (end === AttemptOutcome.Answered && isSuccess);
}

/** What the log and the metrics say of a part. */
enum PartState {
    Suspected = "suspected",
    Quarantined = "quarantined",
    Released = "released",
}

/** Creates the function that logs each part whose state has changed, and counts the parts by state. */
function createChangeReporter(
    evidence: PartEvidenceBook,
    metrics: Pick<GatewayMetrics, "setPromptParts">,
    log: Log,
): (nowMs: number) => void {
    let former = new Map<string, PartState>();
    return nowMs => {
        const current = new Map<string, PartState>();
        for (const part of evidence.listParts()) {
            const facts = evidence.findFacts(part, nowMs);
            if (facts !== undefined && (facts.isQuarantined || !facts.isFamiliar)) {
                current.set(part, facts.isQuarantined ? PartState.Quarantined : PartState.Suspected);
            }
        }
        for (const part of new Set([...former.keys(), ...current.keys()])) {
            const state = current.get(part) ?? PartState.Released;
            if (former.get(part) !== state) {
                const facts = evidence.findFacts(part, nowMs);
                log.warn(`prompt part ${state}`, {
                    part,
                    crashes: facts?.crashTimes.length ?? 0,
                    answers: facts?.answers ?? 0,
                    otherCrashes: facts?.otherCrashes ?? 0,
                });
            }
        }
        const count = (state: PartState) => [...current.values()].filter(value => value === state).length;
        metrics.setPromptParts({
            suspected: count(PartState.Suspected),
            quarantined: count(PartState.Quarantined),
        });
        former = current;
    };
}
