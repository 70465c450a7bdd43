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
import { createRequestEvidence } from "../../decisions/gateway/createRequestEvidence";
import { evaluatePart, type PartDecision, type PartFacts, PartVerdict } from "../../decisions/gateway/evaluatePart";
import type { PartEvidence } from "../../decisions/relays/news";
import { createCrashWatch, type CrashWatchOptions } from "./createCrashWatch";
import type { GatewayMetrics } from "../process/createGatewayMetrics";
import type { EndpointRecord } from "../endpoints/endpointRecord";
import type { FollowedRequest } from "./buildFollowedRequest";
import { type AttemptResult, ConnectionEnd } from "../forwarding/sendAttempt";

/** Whether an attempt may be made. */
export interface AttemptAdmission {
    readonly verdict: PartVerdict;
    /** Present only if no attempt may be made now: the time after which one may be. */
    readonly retryAfterMs?: number;
    /** True if the attempt may be a repeat. */
    readonly allowsRepeat: boolean;
}

/** What came before an attempt, and what may come after it. */
export interface AttemptHistory {
    /** True if the request may have been executed before. */
    readonly isRepeat: boolean;
    /** True if the route permits a further execution after a repeat of this attempt. */
    readonly hasSpare: boolean;
}

/** An attempt that the quarantine follows. */
export interface FollowedAttempt {
    /** Records that the answer began. */
    recordFirstPart(): void;
    /** Records the end; gives true if the request may have crashed the endpoint and must not be repeated. */
    finish(result: AttemptResult): Promise<boolean>;
}

/** The quarantine of a node. */
export interface PartQuarantine extends DumpSource {
    /** Decides whether a request may be sent to an endpoint now. */
    admitAttempt(request: FollowedRequest, history: AttemptHistory): AttemptAdmission;
    /** Explains what `admitAttempt` would decide by the evidence taken so far; counts and changes nothing. */
    explainAttempt(request: FollowedRequest, history: AttemptHistory): AttemptAdmission;
    /** Follows an attempt from its begin. */
    beginAttempt(record: EndpointRecord, request: FollowedRequest, history: AttemptHistory): FollowedAttempt;
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

const ADMITTED: AttemptAdmission = { verdict: PartVerdict.Free, allowsRepeat: true };
const FREE: PartDecision = { verdict: PartVerdict.Free, waitMs: 0 };

/** Stands for the request of an attempt that has ended, so that its body isn't kept. */
const ENDED_REQUEST: FollowedRequest = { parts: [], readIdentity: () => undefined };

/** A request that was in progress at an endpoint when its connection broke. */
interface BrokenAttempt {
    readonly request: FollowedRequest;
    /** True if its answer had not begun, or had just begun. */
    readonly isSuspect: boolean;
}

interface OpenAttempt {
    request: FollowedRequest;
    /** The suspected parts of the request, and the request itself if it is suspected. */
    readonly suspected: readonly string[];
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
 * if (quarantine.admitAttempt(request, { isRepeat: false, hasSpare: true }).retryAfterMs === undefined) { ... }
 */
export function createPartQuarantine(options: PartQuarantineOptions): PartQuarantine {
    const { nodeName, clock, metrics, log } = options;
    const evidence = createPartEvidence();
    const requests = createRequestEvidence();
    /** Keys of the crashes that each request in progress was part of. */
    const crashKeys = new WeakMap<FollowedRequest, readonly string[]>();
    /** The requests in progress that may still crash their endpoints, by suspected part or suspected request. */
    const careful = new Map<string, OpenAttempt>();
    /** Attempts whose answers began less than `SURVIVAL_MS` ago, the first one first. */
    const surviving: OpenAttempt[] = [];
    const reportChanges = createChangeReporter(evidence, metrics, log);

    const clearAttempt = (attempt: OpenAttempt, beganAtMs: number) => {
        const { parts } = attempt.request;
        attempt.isCleared = true;
        if (parts.length > 0) {
            evidence.recordClearance(parts, beganAtMs, clock.readMonotonicMs());
        }
        if (!requests.isEmpty()) {
            requests.recordAnswer(attempt.request.readIdentity() ?? "", beganAtMs);
        }
        releaseCareful(attempt);
    };
    const releaseCareful = (attempt: OpenAttempt) => {
        attempt.suspected.filter(key => careful.get(key) === attempt).forEach(key => careful.delete(key));
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
    const decideRequest = (request: FollowedRequest, nowMs: number): PartDecision => {
        const identity = requests.isEmpty() ? undefined : request.readIdentity();
        return identity === undefined ? FREE : requests.decideRequest(identity, nowMs);
    };
    /**
     * Tells whether an attempt shows if a suspected part or something else of a request crashes endpoints: a single
     * request explains all crashes of the part, and this is another one, or the first repeat of it. A repeat that is the
     * last execution of its route isn't risked, since it could end an endpoint and serve no further attempt.
     */
    const isTest = (part: string, { readIdentity }: FollowedRequest, { isRepeat, hasSpare }: AttemptHistory) => {
        const identity = readIdentity();
        const keys = evidence.listCrashKeys(part);
        if (identity === undefined) {
            return false;
        }
        const isFirstRepeat = isRepeat && hasSpare && keys.length === 1 && requests.hasCrashes(identity, keys);
        return isFirstRepeat || requests.hasOtherSuspect(part, keys, identity);
    };
    const decideAdmission = (
        request: FollowedRequest,
        history: AttemptHistory,
        decide: (part: string, nowMs: number) => PartDecision,
    ): AttemptAdmission => {
        const nowMs = clock.readMonotonicMs();
        const suspected = request.parts
            .filter(part => evidence.hasEvidence(part))
            .map(part => ({ part, ...decide(part, nowMs) }))
            .filter(({ verdict }) => verdict !== PartVerdict.Free);
        const tested = suspected.filter(({ part, verdict }) => {
            return verdict !== PartVerdict.Quarantined && isTest(part, request, history);
        });
        const own = decideRequest(request, nowMs);
        const decisions: readonly PartDecision[] = [...suspected.filter(decision => !tested.includes(decision)), own];
        const worst = decisions.reduce((most, decision) => (decision.waitMs > most.waitMs ? decision : most));
        if (suspected.length === 0 && own.verdict === PartVerdict.Free) {
            return ADMITTED;
        }
        const allowsRepeat = decisions.every(({ verdict }) => verdict === PartVerdict.Free);
        const isBusy = listKeys(request).some(key => careful.has(key));
        if (worst.waitMs === 0 && !isBusy) {
            return { verdict: PartVerdict.Careful, allowsRepeat };
        }
        const verdict = worst.waitMs === 0 ? PartVerdict.Held : worst.verdict;
        return { verdict, retryAfterMs: Math.max(BUSY_RETRY_AFTER_MS, worst.waitMs), allowsRepeat };
    };
    /** Lists what may be suspected of a request: its parts, and itself if anything is known of requests. */
    const listKeys = ({ parts, readIdentity }: FollowedRequest): readonly string[] => {
        const identity = requests.isEmpty() ? undefined : readIdentity();
        return identity === undefined ? parts : [...parts, identity];
    };
    const crashes = createCrashWatch<BrokenAttempt>({
        ...options,
        handleCrash: (key, { request, isSuspect }, atMs) => {
            const identity = isSuspect ? request.readIdentity() : undefined;
            const { parts } = request;
            const keys = [...(crashKeys.get(request) ?? []), key];
            crashKeys.set(request, keys);
            const suspect = identity === undefined ? undefined : { identity, parts, keys };
            requests.recordCrash(key, suspect, atMs);
            if (isSuspect) {
                evidence.recordCrash(key, parts, atMs);
                reportChanges(clock.readMonotonicMs());
            }
        },
    });
    const isSuspected = (part: string, nowMs: number) =>
        evidence.hasEvidence(part) && decidePart(part, nowMs).verdict !== PartVerdict.Free;
    const listSuspected = (request: FollowedRequest, nowMs: number): readonly string[] => {
        const isOwn = decideRequest(request, nowMs).verdict !== PartVerdict.Free;
        const identity = isOwn ? request.readIdentity() : undefined;
        return [
            ...request.parts.filter(part => isSuspected(part, nowMs)),
            ...(identity === undefined ? [] : [identity]),
        ];
    };

    return {
        name: "quarantine",
        admitAttempt: (request, history) => {
            clearSurvivors();
            const admission = decideAdmission(request, history, decidePart);
            if (admission.retryAfterMs !== undefined) {
                metrics.countPromptRefusal(admission.verdict);
            }
            return admission;
        },
        explainAttempt: (request, history) =>
            decideAdmission(request, history, (part, nowMs) =>
                decideByFacts(part, evidence.readFacts(part, nowMs), nowMs),
            ),
        beginAttempt: (record, request, history) => {
            const { parts } = request;
            const suspected = listSuspected(request, clock.readMonotonicMs());
            const attempt: OpenAttempt = {
                request,
                suspected,
                firstPartAtMs: undefined,
                hasEnded: false,
                isCleared: false,
            };
            suspected.forEach(key => careful.set(key, attempt));
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
                    attempt.request = ENDED_REQUEST;
                    if (result.connection !== ConnectionEnd.Broken) {
                        return false;
                    }
                    const isSuspect = firstPartAtMs === undefined || nowMs - firstPartAtMs < JUST_BEGUN_MS;
                    const { isRepeat } = history;
                    const whenKnown = crashes.recordBreak(record, { request, isSuspect });
                    const isUnfamiliar = parts.some(part => !evidence.isFamiliar(part, nowMs));
                    const isWatched = isRepeat || isUnfamiliar || listSuspected(request, nowMs).length > 0;
                    if (!isSuspect || !isWatched || !(await whenKnown)) {
                        return false;
                    }
                    const allowsRepeat = () =>
                        decideAdmission(request, { ...history, isRepeat: true }, decidePart).allowsRepeat;
                    const settleMs = requests.computeSettleMs(request.readIdentity() ?? "", clock.readMonotonicMs());
                    if (allowsRepeat() && settleMs > 0) {
                        await clock.waitMs(settleMs);
                    }
                    return !allowsRepeat();
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
        hasEvidence: part => evidence.hasEvidence(part) || requests.hasEvidence(part),
        releasePart: part => {
            const nowMs = clock.readMonotonicMs();
            log.warn("prompt part released by an operator", { part });
            evidence.release(part, nowMs);
            requests.recordAnswer(part, nowMs);
            reportChanges(nowMs);
        },
        dumpState: () => {
            const nowMs = clock.readMonotonicMs();
            const parts = evidence
                .listParts()
                .map(part => ({ part, facts: evidence.findFacts(part, nowMs), decision: decidePart(part, nowMs) }));
            const suspects = requests
                .listIdentities()
                .map(part => ({ part, decision: requests.decideRequest(part, nowMs) }))
                .filter(({ decision }) => decision.verdict !== PartVerdict.Free);
            return [...parts, ...suspects];
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
