/**
 * @module Constants of the engine model.
 */
import type { EngineSettings } from "./engineState";

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

/** Length of the shortest answer to a prompt that asks for no length. */
export const SHORTEST_ANSWER_TOKENS = 32;

/** Answers to prompts that ask for no length are shorter than the shortest plus this. */
export const ANSWER_SPREAD_TOKENS = 224;
