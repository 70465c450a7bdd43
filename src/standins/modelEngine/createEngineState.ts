/**
 * @module Builds engines.
 */
import { DEFAULT_ENGINE_SETTINGS } from "./constants";
import type { EngineSettings, EngineState } from "./engineState";

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
