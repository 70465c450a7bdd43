/**
 * @module Reading request bodies of bounded size.
 */
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";

/** Bounds of a body. */
export interface BodyLimits {
    readonly bodyBytes: number;
    /** Longest silence between two pieces, in milliseconds. */
    readonly idleMs: number;
}

/**
 * Reads a whole request body. A body over the limit is not kept; its rest is read and dropped so that the caller can
 * still receive the failure.
 *
 * @param request - The request
 * @param limits - Largest body accepted, and longest silence in the middle of it
 * @returns The body, or `BodyTooLarge`, `CallerTooSlow` or `CallerGone`
 * @example
 * const body = yield* waitFor(readBody(request, { bodyBytes: 1_048_576, idleMs: 30_000 }));
 */
export function readBody(request: IncomingMessage, limits: BodyLimits): Promise<Result<Buffer, Failure>> {
    return new Promise(resolve => {
        const tooLarge = createFailure(FailureKind.BodyTooLarge, `The body is over ${limits.bodyBytes} bytes.`);
        if (Number(request.headers["content-length"] ?? 0) > limits.bodyBytes) {
            request.resume();
            resolve(err(tooLarge));
            return;
        }
        const chunks: Buffer[] = [];
        let length = 0;
        const silence = setTimeout(
            () => resolve(err(createFailure(FailureKind.CallerTooSlow, "The body stopped arriving."))),
            limits.idleMs,
        );
        request.on("data", (chunk: Buffer) => {
            length += chunk.length;
            silence.refresh();
            if (length > limits.bodyBytes) {
                chunks.length = 0;
                resolve(err(tooLarge));
            } else {
                chunks.push(chunk);
            }
        });
        request.on("end", () => resolve(ok(Buffer.concat(chunks))));
        request.on("close", () => {
            clearTimeout(silence);
            resolve(err(createFailure(FailureKind.CallerGone, "The caller left before the body was complete.")));
        });
    });
}
