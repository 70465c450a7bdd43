/**
 * @module One HTTP request with a whole answer, every wait bounded.
 */
import http from "node:http";
import { ulid } from "ulid";
import { CONNECT_TIMEOUT_MS, FIRST_BYTE_TIMEOUT_MS, LARGEST_ANSWER_BYTES, SILENCE_TIMEOUT_MS } from "../constants";
import type { ConnectionPool } from "./createConnectionPool";
import type { HttpTarget } from "./httpTarget";
import { trackSentBytes } from "./trackSentBytes";

/** Bounds of the waits of a call, in milliseconds. */
export interface CallTimeouts {
    readonly connectMs?: number;
    readonly firstByteMs?: number;
    readonly silenceMs?: number;
}

/** A request to send. */
export interface HttpCall {
    readonly method: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: Buffer;
    readonly timeouts?: CallTimeouts;
    readonly cancelled?: AbortSignal;
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
    return new Promise(resolve => {
        const request = http.request({
            host: target.address,
            port: target.port,
            method: call.method,
            path: call.path,
            agent: pool?.agent ?? false,
            headers: {
                ...call.headers,
                "x-request-id": callId,
                "content-length": call.body?.length ?? 0,
                ...(pool === undefined ? { connection: "close" } : {}),
            },
        });
        let timer: NodeJS.Timeout | undefined;
        const boundWait = (delayMs: number, waitedFor: string) => {
            clearTimeout(timer);
            timer = setTimeout(() => endCall(LossReason.Silent, `No ${waitedFor} within ${delayMs} ms.`), delayMs);
        };
        const sent = trackSentBytes(request, () =>
            boundWait(call.timeouts?.firstByteMs ?? FIRST_BYTE_TIMEOUT_MS, "answer"),
        );
        const settle = (outcome: HttpOutcome) => {
            clearTimeout(timer);
            call.cancelled?.removeEventListener("abort", cancelCall);
            resolve(outcome);
        };
        const endCall = (reason: LossReason, message: string) => {
            settle({ isAnswered: false, reason, hasSentBytes: sent.hasSentBytes(), message });
            request.destroy();
            if (reason === LossReason.Silent || reason === LossReason.Unusable) {
                pool?.dropIdleConnections(target);
            }
        };
        const cancelCall = () => endCall(LossReason.Cancelled, "The call was cancelled.");

        boundWait(call.timeouts?.connectMs ?? CONNECT_TIMEOUT_MS, "connection");
        request.on("error", error => endCall(LossReason.Broken, describeError(error)));
        request.on("response", response => {
            const silenceMs = call.timeouts?.silenceMs ?? SILENCE_TIMEOUT_MS;
            const chunks: Buffer[] = [];
            let bytes = 0;
            boundWait(silenceMs, "more of the answer");
            response.on("data", (chunk: Buffer) => {
                boundWait(silenceMs, "more of the answer");
                bytes += chunk.length;
                chunks.push(chunk);
                if (bytes > LARGEST_ANSWER_BYTES) {
                    endCall(LossReason.Unusable, "The answer is too large.");
                }
            });
            response.on("aborted", () => endCall(LossReason.Broken, "The connection closed inside the answer."));
            response.on("error", error => endCall(LossReason.Broken, describeError(error)));
            response.on("end", () => {
                const echoed = response.headers["x-request-id"];
                if (echoed !== undefined && echoed !== callId) {
                    endCall(LossReason.Unusable, "The answer belongs to another call.");
                    return;
                }
                settle({
                    isAnswered: true,
                    status: response.statusCode ?? 0,
                    headers: convertHeaders(response.headers),
                    body: Buffer.concat(chunks),
                    isEchoed: echoed === callId,
                });
            });
        });
        if (call.cancelled?.aborted === true) {
            cancelCall();
            return;
        }
        call.cancelled?.addEventListener("abort", cancelCall, { once: true });
        request.end(call.body);
    });
}

function describeError(error: Error): string {
    return (error as NodeJS.ErrnoException).code ?? error.message;
}

function convertHeaders(headers: http.IncomingHttpHeaders): Readonly<Record<string, string>> {
    return Object.fromEntries(
        Object.entries(headers).flatMap(([name, value]) =>
            value === undefined ? [] : [[name, Array.isArray(value) ? value.join(", ") : value]],
        ),
    );
}
