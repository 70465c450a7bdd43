/**
 * @module What an engine reports about its load.
 */
import { countUsedTokens } from "./_lib/countUsedTokens";
import type { EngineState } from "./engineState";

/** The load of an engine at one moment. */
export interface EngineLoadSample {
    readonly running: number;
    readonly waiting: number;
    readonly pendingPrefillTokens: number;
    /** Share of the KV cache that running sequences use, 0 to 1. */
    readonly cacheUse: number;
    readonly prefillTokensPerSecond: number;
    readonly tokenGapMs: number;
}

/**
 * Measures the load of an engine.
 *
 * @param engine - The engine
 * @returns Its load now
 * @example
 * measureEngineLoad(engine).running;
 */
export function measureEngineLoad(engine: EngineState): EngineLoadSample {
    const waitingTokens = engine.waiting.reduce((sum, next) => sum + next.promptTokens + next.resumeOffset, 0);
    const prefillLeft = engine.running.reduce((sum, entry) => sum + entry.prefillLeft, 0);
    const used = engine.running.reduce((sum, entry) => sum + countUsedTokens(entry.sequence), 0);
    return {
        running: engine.running.length,
        waiting: engine.waiting.length,
        pendingPrefillTokens: waitingTokens + prefillLeft,
        cacheUse: Math.min(1, used / engine.settings.cacheTokens),
        prefillTokensPerSecond: engine.settings.prefillTokensPerSecond,
        tokenGapMs: engine.lastDecodeMs,
    };
}
