/**
 * @module Builds engines.
 */
import type { EngineSettings, EngineState } from "./engineState";

/** An engine of middling size: 12 ms between tokens alone, 8,000 prompt tokens a second. */
export const DEFAULT_ENGINE_SETTINGS: EngineSettings = {
    tokenGapMs: 12,
    tokenGapPerSequenceMs: 0.25,
    prefillTokensPerSecond: 8_000,
    prefillChunkTokens: 512,
    maximumRunning: 64,
    maximumWaiting: 256,
    cacheTokens: 200_000,
    blockTokens: 64,
};

/**
 * Creates an idle engine.
 *
 * @param settings - What differs from the default settings
 * @returns The engine's state
 * @example
 * const engine = createEngineState({ tokenGapMs: 5 });
 */
export function createEngineState(settings: Partial<EngineSettings> = {}): EngineState {
    return {
        settings: { ...DEFAULT_ENGINE_SETTINGS, ...settings },
        waiting: [],
        running: [],
        prefixes: new Set(),
        step: undefined,
        lastDecodeMs: settings.tokenGapMs ?? DEFAULT_ENGINE_SETTINGS.tokenGapMs,
        prefilledTokens: 0,
    };
}
