/**
 * @module KV cache of a running sequence.
 */
import type { EngineSequence } from "../engineState";

/**
 * Counts the tokens of KV cache that are set aside for a sequence: its prompt and its whole answer.
 *
 * @param sequence - The sequence
 * @returns Tokens
 * @example
 * countUsedTokens({ ...sequence, promptTokens: 100, answerTokens: 20 }); //=> 120
 */
export function countUsedTokens(sequence: EngineSequence): number {
    return sequence.promptTokens + sequence.answerTokens;
}
