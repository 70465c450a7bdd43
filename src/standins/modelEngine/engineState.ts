/**
 * @module The state of a model engine that batches continuously.
 *
 * The functions of this folder change the state they are given, because copying it at each step would cost more than
 * the step; they do no I/O and read no clock, so the same calls always give the same outputs.
 */

/** Speed and size of an engine. */
export interface EngineSettings {
    /** Duration of a decoding step with one sequence. */
    readonly tokenGapMs: number;
    /** Added to a decoding step for each further sequence. */
    readonly tokenGapPerSequenceMs: number;
    readonly prefillTokensPerSecond: number;
    /** Most prompt tokens prefilled in one step, over all sequences. */
    readonly prefillChunkTokens: number;
    /** Most sequences in the batch. */
    readonly maximumRunning: number;
    /** Most sequences waiting; further ones are refused. */
    readonly maximumWaiting: number;
    /** Tokens of KV cache, shared by running sequences and cached prefixes. */
    readonly cacheTokens: number;
    /** Tokens in one block of the prefix cache. */
    readonly blockTokens: number;
}

/** One request inside the engine. */
export interface EngineSequence {
    /** Unique among the engine's sequences. */
    readonly key: string;
    /** Smaller is more urgent. */
    readonly priority: number;
    readonly promptTokens: number;
    /** One hash per whole block of the prompt, shortest prefix first. */
    readonly prefixHashes: readonly string[];
    /** Tokens of the answer that an earlier attempt generated. */
    readonly resumeOffset: number;
    /** Leading tokens whose KV cache was imported. */
    readonly importedTokens: number;
    /** Length of the whole answer in tokens. */
    readonly answerTokens: number;
}

/** A sequence in the batch. */
export interface RunningSequence {
    readonly sequence: EngineSequence;
    /** Prompt tokens found in the prefix cache or imported. */
    readonly cachedTokens: number;
    prefillLeft: number;
    /** Index of the next token of the answer. */
    nextToken: number;
}

/** The step being computed. */
export interface EngineStep {
    readonly endsAtMs: number;
    /** Prompt tokens that the step prefills, by sequence key. */
    readonly prefills: ReadonlyMap<string, number>;
    /** Keys of the sequences that the step decodes a token for. */
    readonly decodes: ReadonlySet<string>;
}

/** The whole state of an engine. */
export interface EngineState {
    readonly settings: EngineSettings;
    /** In the order of priority, then of arrival. */
    readonly waiting: EngineSequence[];
    readonly running: RunningSequence[];
    /** Cached prefix blocks, least recently used first. */
    readonly prefixes: Set<string>;
    step: EngineStep | undefined;
    /** Duration of the last step that decoded. */
    lastDecodeMs: number;
    /** Prompt and resumed tokens prefilled since the start; what caches saved is not in it. */
    prefilledTokens: number;
}

/** What comes out of an engine. */
export enum EngineOutputKind {
    Token = "token",
    Finished = "finished",
    PrefixCached = "prefix_cached",
    PrefixEvicted = "prefix_evicted",
}

/** One output of an engine, with the time at which it came out. */
export type EngineOutput =
    | {
          readonly kind: EngineOutputKind.Token;
          readonly atMs: number;
          readonly key: string;
          /** Index of the token in the whole answer. */
          readonly index: number;
      }
    | {
          readonly kind: EngineOutputKind.Finished;
          readonly atMs: number;
          readonly key: string;
          readonly cachedTokens: number;
      }
    | {
          readonly kind: EngineOutputKind.PrefixCached | EngineOutputKind.PrefixEvicted;
          readonly atMs: number;
          readonly prefixHash: string;
      };
