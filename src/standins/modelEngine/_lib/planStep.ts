/**
 * @module What one step of the batch does and how long it takes.
 */
import type { EngineState, EngineStep } from "../engineState";

/**
 * Plans the next step: a chunk of prefill, the most urgent first, and a token for each sequence whose prefill is done.
 *
 * @param engine - The engine; `lastDecodeMs` is changed
 * @param beginsAtMs - When the step begins
 * @param delayMs - Added to its duration
 * @returns The step; `undefined` if there is nothing to do
 * @example
 * engine.step = planStep(engine, nowMs, 0);
 */
export function planStep(engine: EngineState, beginsAtMs: number, delayMs: number): EngineStep | undefined {
    const { settings } = engine;
    const prefills = new Map<string, number>();
    const decodes = new Set<string>();
    let chunkLeft = settings.prefillChunkTokens;
    for (const { sequence, prefillLeft } of [...engine.running].sort(
        (left, right) => left.sequence.priority - right.sequence.priority,
    )) {
        if (prefillLeft === 0) {
            decodes.add(sequence.key);
        } else if (chunkLeft > 0) {
            prefills.set(sequence.key, Math.min(prefillLeft, chunkLeft));
            chunkLeft -= Math.min(prefillLeft, chunkLeft);
        }
    }
    if (prefills.size === 0 && decodes.size === 0) {
        return undefined;
    }
    const prefillTokens = settings.prefillChunkTokens - chunkLeft;
    const prefillMs = (prefillTokens * 1000) / settings.prefillTokensPerSecond;
    const decodeMs = decodes.size === 0 ? 0 : settings.tokenGapMs + settings.tokenGapPerSequenceMs * (decodes.size - 1);
    const durationMs = prefillMs + decodeMs + delayMs;
    if (decodes.size > 0) {
        engine.lastDecodeMs = durationMs;
    }
    return { endsAtMs: beginsAtMs + durationMs, prefills, decodes };
}
