/**
 * @module One HTTP request with a whole answer, every wait bounded.
 */
import http from "node:http";
import https from "node:https";
import { ulid } from "ulid";
import {
    CONNECT_TIMEOUT_MS,
    FIRST_BYTE_TIMEOUT_MS,
    LARGEST_ANSWER_BYTES,
    SILENCE_TIMEOUT_MS,
    WHOLE_ANSWER_TIMEOUT_MS,
} from "../constants";
import type { ConnectionPool } from "./createConnectionPool";
import { createWaitBound } from "./createWaitBound";
import { describeError } from "./describeError";
import { HttpStatus } from "./httpStatus";
import type { HttpTarget } from "./httpTarget";
import { readWholeAnswer } from "./readWholeAnswer";
import { trackSentBytes } from "./trackSentBytes";

/** Bounds of the waits of a call, in milliseconds. */
export interface CallTimeouts {
    readonly connectMs?: number;
    readonly firstByteMs?: number;
    readonly silenceMs?: number;
    /** From the head of the answer to its end; an answer that never falls silent may still never end. */
    readonly wholeMs?: number;
}

/** A request to send. */
export interface HttpCall {
    readonly method: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: Buffer;
    readonly timeouts?: CallTimeouts;
    readonly cancelled?: AbortSignal;
    /** True for a peer whose protocol has no `x-request-id`; the answer is then matched by its connection alone. */
    readonly omitsRequestId?: boolean;
}

/** Why a call ended without an answer. */
export enum LossReason {
    /** The connection failed or was reset. */
    Broken = "broken",
    /** A wait was over. */
    Silent = "silent",
    /** The answer belongs to another call, or is too large. */
    Unusable = "unusable",
    Cancelled = "cancelled",
}

/** How a call ended. */
export type HttpOutcome =
    | {
          readonly isAnswered: true;
          readonly status: number;
          readonly headers: Readonly<Record<string, string>>;
          readonly body: Buffer;
          /** True if the answer echoes this call's `x-request-id`. */
          readonly isEchoed: boolean;
      }
    | {
          readonly isAnswered: false;
          readonly reason: LossReason;
          /** False only if no byte of the request can have left this process. */
          readonly hasSentBytes: boolean;
          readonly message: string;
      };

/** Losses after which other kept connections to the same place are not trusted either. */
const DISTRUST_REASONS: ReadonlySet<LossReason> = new Set([LossReason.Silent, LossReason.Unusable]);

const processId = ulid();
let callsStarted = 0;

/**
 * Sends a request and reads its whole answer. Each call carries a unique `x-request-id`; an answer that echoes another
 * is discarded with its connection.
 *
 * @param target - Where to
 * @param call - What to send
 * @param pool - Kept connections; absent: a new connection for this call alone
 * @returns The outcome; the promise never rejects
 * @example
 * const outcome = await sendHttpCall(target, { method: "GET", path: "/vms" }, pool);
 */
export function sendHttpCall(target: HttpTarget, call: HttpCall, pool?: ConnectionPool): Promise<HttpOutcome> {
    const callId = `${processId}-${++callsStarted}`;
    const { connectMs, firstByteMs, silenceMs } = call.timeouts ?? {};
    return new Promise(resolve => {
        const request = createRequest(target, call, callId, pool);
        const bound = createWaitBound(message => endCall(LossReason.Silent, message));
        const sent = trackSentBytes(request, () => bound.beginWait(firstByteMs ?? FIRST_BYTE_TIMEOUT_MS, "answer"));
        const wholeBound = createWaitBound(message => endCall(LossReason.Silent, message));
        const settle = (outcome: HttpOutcome) => {
            bound.endWait();
            wholeBound.endWait();
            call.cancelled?.removeEventListener("abort", cancelCall);
            resolve(outcome);
        };
        const endCall = (reason: LossReason, message: string) => {
            settle({ isAnswered: false, reason, hasSentBytes: sent.hasSentBytes(), message });
            request.destroy();
            if (DISTRUST_REASONS.has(reason)) {
                pool?.dropIdleConnections(target);
            }
        };
        const cancelCall = () => endCall(LossReason.Cancelled, "The call was cancelled.");
        const failBroken = (error: Error) => endCall(LossReason.Broken, describeError(error));
        const beginSilence = () => bound.beginWait(silenceMs ?? SILENCE_TIMEOUT_MS, "more of the answer");

        bound.beginWait(connectMs ?? CONNECT_TIMEOUT_MS, "connection");
        let answer: http.IncomingMessage | undefined;
        request.on("error", error => {
            // Bytes after a whole answer belong to no call; the answer stands, and the connection is closed.
            if (answer?.complete !== true) {
                failBroken(error);
            }
        });
        request.on("response", response => {
            answer = response;
            if ((response.statusCode ?? 0) < HttpStatus.Ok) {
                endCall(LossReason.Unusable, "The answer has a status that isn't final.");
                return;
            }
            beginSilence();
            wholeBound.beginWait(call.timeouts?.wholeMs ?? WHOLE_ANSWER_TIMEOUT_MS, "end of the answer");
            readWholeAnswer(
                response,
                { method: call.method, bytesMax: LARGEST_ANSWER_BYTES },
                {
                    handlePart: beginSilence,
                    handleTooLarge: () => endCall(LossReason.Unusable, "The answer is too large."),
                    handleError: failBroken,
                    handleWhole: body => {
                        const echoed = response.headers["x-request-id"];
                        if (echoed !== undefined && echoed !== callId) {
                            endCall(LossReason.Unusable, "The answer belongs to another call.");
                        } else {
                            settle(createAnswer(response, body, echoed === callId));
                        }
                    },
                },
            );
        });
        if (call.cancelled?.aborted === true) {
            cancelCall();
            return;
        }
        call.cancelled?.addEventListener("abort", cancelCall, { once: true });
        request.end(call.body);
    });
}

function createRequest(target: HttpTarget, call: HttpCall, callId: string, pool?: ConnectionPool): http.ClientRequest {
    const openRequest = target.isTls === true ? https.request : http.request;
    return openRequest({
        host: target.address,
        port: target.port,
        method: call.method,
        path: call.path,
        agent: pool?.agent ?? false,
        headers: {
            ...call.headers,
            ...(call.omitsRequestId === true ? {} : { "x-request-id": callId }),
            "content-length": call.body?.length ?? 0,
            ...(pool === undefined ? { connection: "close" } : {}),
        },
    });
}

function createAnswer(response: http.IncomingMessage, body: Buffer, isEchoed: boolean): HttpOutcome {
    const headers = Object.fromEntries(
        Object.entries(response.headers).flatMap(([name, value]) =>
            value === undefined ? [] : [[name, Array.isArray(value) ? value.join(", ") : value]],
        ),
    );
    return { isAnswered: true, status: response.statusCode ?? 0, headers, body, isEchoed };
}
