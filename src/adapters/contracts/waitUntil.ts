/**
 * @module Waiting in contract tests.
 */
import assert from "node:assert/strict";

const LONGEST_WAIT_MS = 5_000;
const POLL_MS = 5;

/**
 * Waits until something holds, and fails the test if it never does.
 *
 * @param isMet - What must come to hold
 * @param message - What the test waits for
 * @returns A promise that resolves once it holds
 * @example
 * await waitUntil(() => runner.countActive() === 0, "the engine is idle");
 */
export async function waitUntil(isMet: () => boolean, message: string): Promise<void> {
    for (let waitedMs = 0; waitedMs < LONGEST_WAIT_MS; waitedMs += POLL_MS) {
        if (isMet()) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    assert.fail(`Waited in vain until ${message}.`);
}
