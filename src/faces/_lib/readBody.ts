/**
 * @module Reading request bodies of bounded size.
 */
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";

/**
 * Reads a whole request body. A body over the limit is not kept; its rest is read and dropped so that the caller can
 * still receive the failure.
 *
 * @param request - The request
 * @param limitBytes - Largest body accepted
 * @returns The body, or `BodyTooLarge` or `CallerGone`
 * @example
 * const body = yield* waitFor(readBody(request, 1_048_576));
 */
export function readBody(request: IncomingMessage, limitBytes: number): Promise<Result<Buffer, Failure>> {
    return new Promise(resolve => {
        const tooLarge = createFailure(FailureKind.BodyTooLarge, `The body is over ${limitBytes} bytes.`);
        if (Number(request.headers["content-length"] ?? 0) > limitBytes) {
            request.resume();
            resolve(err(tooLarge));
            return;
        }
        const chunks: Buffer[] = [];
        let length = 0;
        request.on("data", (chunk: Buffer) => {
            length += chunk.length;
            if (length > limitBytes) {
                chunks.length = 0;
                resolve(err(tooLarge));
            } else {
                chunks.push(chunk);
            }
        });
        request.on("end", () => resolve(ok(Buffer.concat(chunks))));
        request.on("close", () =>
            resolve(err(createFailure(FailureKind.CallerGone, "The caller left before the body was complete."))),
        );
    });
}
