/**
 * @module The log line of an attempt.
 */
import type { Log } from "../../base/log/log";
import type { NextAction } from "../../decisions/gateway/decideNextAction";
import type { EndpointRecord } from "../endpoints/endpointRecord";
import type { EndedAttempt, ForwardingState } from "./forwardingState";

/**
 * Logs an attempt that was not answered with success.
 *
 * @param log - Gets the line
 * @param state - The request
 * @param record - The endpoint
 * @param attempt - How the attempt ended
 * @param step - What follows
 * @example
 * logAttempt(log, state, candidate.record, attempt, NextAction.SendAgain);
 */
export function logAttempt(
    log: Log,
    state: ForwardingState,
    record: EndpointRecord,
    { result, ...attempt }: EndedAttempt,
    step: NextAction,
): void {
    log.warn("attempt ended", {
        requestId: state.exchange.head.requestId,
        route: state.exchange.route.name,
        endpointId: record.endpoint.id,
        version: record.endpoint.version,
        endpointStartedAtMs: record.endpoint.startedAtMs,
        connection: result.connection,
        answerAgeMs: attempt.answerAgeMs,
        breaksTogether: attempt.breaksTogether,
        stillInFlight: attempt.stillInFlight,
        sharedParts: state.followed.parts.join(","),
        end: result.end,
        status: result.answer?.status,
        reason: result.reason,
        sends: state.sends,
        executions: state.executions,
        step,
    });
}
