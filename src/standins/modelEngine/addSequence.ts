/**
 * @module Requests entering an engine.
 */
import type { EngineSequence, EngineState } from "./engineState";

/**
 * Adds a sequence to the waiting ones, behind those as urgent as it. It may join the batch at the next step.
 *
 * @param engine - The engine; changed
 * @param sequence - The sequence
 * @returns False if too many wait already; nothing is changed then
 * @example
 * addSequence(engine, sequence);
 */
export function addSequence(engine: EngineState, sequence: EngineSequence): boolean {
    if (engine.waiting.length >= engine.settings.maximumWaiting) {
        return false;
    }
    const behind = engine.waiting.findIndex(other => other.priority > sequence.priority);
    engine.waiting.splice(behind < 0 ? engine.waiting.length : behind, 0, sequence);
    return true;
}
