/**
 * @module The pause before a chat request is tried again.
 */
import { MAXIMUM_RETRY_BACKOFF_MS } from "../constants";
import type { ChatRun } from "./chatRun";

/**
 * Sets the time of the next try after a pause that doubles up to a maximum.
 *
 * @param run - The request
 * @example
 * scheduleRetry(run);
 */
export function scheduleRetry(run: ChatRun): void {
    run.retryAtMs = run.shared.dependencies.clock.readMonotonicMs() + run.backoffMs;
    run.backoffMs = Math.min(MAXIMUM_RETRY_BACKOFF_MS, run.backoffMs * 2);
}
