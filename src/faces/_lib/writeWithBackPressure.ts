/**
 * @module Writing a response no faster than its reader takes it.
 */
import type { ServerResponse } from "node:http";
import {
    type Channel,
    createChannel,
    createTimer,
    offerMessage,
    selectMessage,
    type TaskGenerator,
} from "../../base/csp";

/** How a write went. */
export enum WriteResult {
    Written = "written",
    CallerGone = "caller_gone",
    CallerTooSlow = "caller_too_slow",
}

/**
 * Writes text and, when the buffer is full, waits until the reader has taken it.
 *
 * @param response - Where to
 * @param text - What to write
 * @param timeoutMs - Longest wait for the reader
 * @returns Whether it was written, or why not
 * @example
 * const result = yield* writeWithBackPressure(response, "data: [DONE]\n\n", 30_000);
 */
export function* writeWithBackPressure(
    response: ServerResponse,
    text: string,
    timeoutMs: number,
): TaskGenerator<WriteResult> {
    if (response.destroyed || response.writableEnded) {
        return WriteResult.CallerGone;
    }
    if (response.write(text)) {
        return WriteResult.Written;
    }
    const drained: Channel<boolean> = createChannel<boolean>(2);
    const onDrain = () => void offerMessage(drained, true);
    const onClose = () => void offerMessage(drained, false);
    response.once("drain", onDrain);
    response.once("close", onClose);
    const timer = createTimer(timeoutMs);
    const event = yield* selectMessage({ drained, late: timer.expired });
    timer.dispose();
    response.off("drain", onDrain);
    response.off("close", onClose);
    if (event.from === "late") {
        return WriteResult.CallerTooSlow;
    }
    return event.message === true ? WriteResult.Written : WriteResult.CallerGone;
}
