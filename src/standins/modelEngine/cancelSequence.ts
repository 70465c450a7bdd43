/**
 * @module Requests leaving an engine early.
 */
import type { EngineState } from "./engineState";

/**
 * Removes a sequence, waiting or running. The step being computed still takes its time.
 *
 * @param engine - The engine; changed
 * @param key - The sequence's key
 * @returns Whether there was one
 * @example
 * cancelSequence(engine, "r1/1");
 */
export function cancelSequence(engine: EngineState, key: string): boolean {
    const waitingAt = engine.waiting.findIndex(sequence => sequence.key === key);
    if (waitingAt >= 0) {
        engine.waiting.splice(waitingAt, 1);
        return true;
    }
    const runningAt = engine.running.findIndex(entry => entry.sequence.key === key);
    if (runningAt >= 0) {
        engine.running.splice(runningAt, 1);
        return true;
    }
    return false;
}
