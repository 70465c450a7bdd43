/**
 * @module The pause before a chat request is tried again.
 */
import { LONGEST_RETRY_PAUSE_MS } from "../constants";
import type { ChatRun } from "./chatRun";

/**
 * Sets the time of the next try after a pause that grows.
 *
 * @param run - The request
 * @example
 * pauseRun(run);
 */
export function pauseRun(run: ChatRun): void {
    run.retryAtMs = run.shared.parts.clock.readMonotonicMs() + run.pauseMs;
    run.pauseMs = Math.min(LONGEST_RETRY_PAUSE_MS, run.pauseMs * 2);
}
