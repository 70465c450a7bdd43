/**
 * @module Reads request bodies of limited size.
 */
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../base/createFailure";
import { createByteAccumulator } from "../base/createByteAccumulator";
import { type Failure, FailureKind } from "../base/failure";
import type { MemoryLease } from "../base/createMemoryBudget";
import { readContentLength } from "./readContentLength";

/** Limits of a request body. */
export interface BodyLimits {
    /** Largest accepted size, in bytes. */
    readonly bodyBytes: number;
    /** Longest time without data before the body is complete, in milliseconds. */
    readonly idleMs: number;
    /** Where the bytes of the body are held; absent: they are not counted. */
    readonly memory?: MemoryLease;
    /** Aborted when the process stops and waits for no body any more. */
    readonly stopped?: AbortSignal;
}

/** Retry delay of a request for whose body there is no memory: others end meanwhile. */
const MEMORY_RETRY_AFTER_MS = 500;

/**
 * Reads a whole request body. A body over the limit, or one for which there is no memory, is not kept: the rest of it is
 * read and discarded, so that the caller can still receive the failure. If the request states its length, that is
 * decided before the first byte is read.
 *
 * @param request - The request
 * @param limits - Largest accepted size, and longest time without data
 * @returns The body, or `BodyTooLarge`, `MemoryExhausted`, `CallerTooSlow`, `CallerGone` or `ShuttingDown`
 * @example
 * const body = yield* waitFor(readBody(request, { bodyBytes: 1_048_576, idleMs: 30_000 }));
 */
export function readBody(request: IncomingMessage, limits: BodyLimits): Promise<Result<Buffer, Failure>> {
    return new Promise(resolve => {
        const tooLarge = createFailure(FailureKind.BodyTooLarge, `The request body exceeds ${limits.bodyBytes} bytes.`);
        const bytesExpected = readContentLength(request.headers);
        if (bytesExpected !== undefined && bytesExpected > limits.bodyBytes) {
            request.resume();
            resolve(err(tooLarge));
            return;
        }
        const exhausted = createFailure(FailureKind.MemoryExhausted, "The node has no memory for the request body.", {
            retryAfterMs: MEMORY_RETRY_AFTER_MS,
        });
        const hasMemory = (bytes: number) => limits.memory?.setBytes(bytes) !== false;
        if (!hasMemory(bytesExpected ?? 0)) {
            request.resume();
            resolve(err(exhausted));
            return;
        }
        let isRefused = false;
        const body = createByteAccumulator({ bytesMax: limits.bodyBytes, bytesExpected });
        const refuse = (failure: Failure) => {
            isRefused = true;
            body.takeBytes();
            limits.memory?.release();
            resolve(err(failure));
        };
        const handleStop = () =>
            resolve(err(createFailure(FailureKind.ShuttingDown, "The node stopped before the request was complete.")));
        limits.stopped?.addEventListener("abort", handleStop, { once: true });
        const idleTimer = setTimeout(
            () =>
                resolve(
                    err(createFailure(FailureKind.CallerTooSlow, "The request body stalled: no data arrived in time.")),
                ),
            limits.idleMs,
        );
        request.on("data", (piece: Buffer) => {
            idleTimer.refresh();
            if (isRefused) {
                return;
            }
            const bytes = body.countBytes() + piece.length;
            if (bytes > limits.bodyBytes) {
                refuse(tooLarge);
            } else if (bytesExpected === undefined && !hasMemory(bytes)) {
                refuse(exhausted);
            } else {
                body.append(piece);
            }
        });
        request.on("end", () => resolve(ok(body.takeBytes())));
        request.on("close", () => {
            clearTimeout(idleTimer);
            limits.stopped?.removeEventListener("abort", handleStop);
            resolve(
                err(
                    createFailure(
                        FailureKind.CallerGone,
                        "The caller closed the connection before the request body was complete.",
                    ),
                ),
            );
        });
    });
}
