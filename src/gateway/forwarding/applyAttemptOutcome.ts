/**
 * @module Records in the state of an endpoint what an attempt tells about it.
 */
import { AttemptOutcome, isFailedStatus } from "../../decisions/gateway/decideNextAction";
import type { ResponseHead } from "../../ports/forwardingCodec";
import {
    type EndpointRecord,
    recordAttemptOutcome,
    recordColdTime,
    recordLoad,
    recordUnreachable,
} from "../endpoints/endpointRecord";
import type { AttemptResult } from "./sendAttempt";

/**
 * Records what the head of an answer tells about the endpoint.
 *
 * @param record - The endpoint
 * @param answer - The head
 * @param nowMs - Monotonic time
 * @example
 * applyAnswerHead(record, answer, clock.readMonotonicMs());
 */
export function applyAnswerHead(record: EndpointRecord, answer: ResponseHead, nowMs: number): void {
    if (answer.load !== undefined) {
        recordLoad(record, answer.load, nowMs);
    }
    if (answer.idleTimeoutMs !== undefined) {
        record.connections.setIdleTimeout(answer.idleTimeoutMs);
    }
    if (answer.isMisdirected) {
        record.isMisdirected = true;
        return;
    }
    if (answer.coldForMs !== undefined) {
        recordColdTime(record, answer.coldForMs, nowMs);
    }
    if (answer.isLeaving) {
        record.isLeaving = true;
    }
    if (answer.refusedForMs !== undefined) {
        record.refusedUntilMs = nowMs + answer.refusedForMs;
    }
}

/**
 * Records what the end of an attempt tells about the endpoint.
 *
 * @param record - The endpoint
 * @param result - How the attempt ended
 * @param nowMs - Monotonic time
 * @example
 * applyOutcome(record, result, clock.readMonotonicMs());
 */
export function applyOutcome(record: EndpointRecord, result: AttemptResult, nowMs: number): void {
    if (result.connection !== undefined || result.end === AttemptOutcome.NotSent) {
        record.mayHaveRestartedAtMs = nowMs;
    }
    OUTCOME_RECORDERS[result.end]?.(record, nowMs, result);
}

/** What is recorded about the endpoint after each end of an attempt. */
const OUTCOME_RECORDERS: Readonly<
    Partial<Record<AttemptOutcome, (record: EndpointRecord, nowMs: number, result: AttemptResult) => void>>
> = {
    [AttemptOutcome.Relayed]: (record, nowMs) => recordAttemptOutcome(record, false, nowMs),
    [AttemptOutcome.Answered]: (record, nowMs, result) =>
        recordAttemptOutcome(record, isFailedStatus(result.answer?.status), nowMs),
    [AttemptOutcome.NotSent]: (record, nowMs) => {
        recordUnreachable(record, nowMs);
        record.connections.closeIdle();
    },
    [AttemptOutcome.NotExecuted]: (record, nowMs) => recordAttemptOutcome(record, true, nowMs),
    [AttemptOutcome.Lost]: (record, nowMs) => {
        recordAttemptOutcome(record, true, nowMs);
        record.connections.closeIdle();
    },
    [AttemptOutcome.Broken]: (record, nowMs) => recordAttemptOutcome(record, true, nowMs),
    [AttemptOutcome.TimedOut]: (record, nowMs) => {
        recordAttemptOutcome(record, true, nowMs);
        record.connections.closeIdle();
    },
};

/**
 * Tells whether an attempt was successful; only other attempts are logged one by one.
 *
 * @param result - How the attempt ended
 * @returns True if an answer below status 500 was received whole
 * @example
 * isSuccessful(result);
 */
export function isSuccessful(result: AttemptResult): boolean {
    const isSuccess = result.end === AttemptOutcome.Answered && !isFailedStatus(result.answer?.status);
    return result.end === AttemptOutcome.Relayed || isSuccess;
}
