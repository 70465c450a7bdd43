/**
 * @module Which waiting sequences join the batch, and what they find in the prefix cache.
 */
import { type EngineOutput, EngineOutputKind, type EngineSequence, type EngineState } from "../engineState";
import { countUsedTokens } from "./countUsedTokens";

/**
 * Moves waiting sequences into the batch, the most urgent first, while there is room for them and their whole answers.
 * Cached prefixes that are in the way are evicted, the least recently used first.
 *
 * @param engine - The engine; changed
 * @param atMs - The time of the step that begins
 * @param outputs - Receives evictions
 * @example
 * joinBatch(engine, nowMs, outputs);
 */
export function joinBatch(engine: EngineState, atMs: number, outputs: EngineOutput[]): void {
    for (let next = engine.waiting[0]; next !== undefined; next = engine.waiting[0]) {
        if (!hasRoom(engine, next)) {
            return;
        }
        engine.waiting.shift();
        const wholeTokens = next.promptTokens + next.resumeOffset;
        const cachedTokens = Math.min(wholeTokens, Math.max(next.importedTokens, countCachedTokens(engine, next)));
        engine.running.push({
            sequence: next,
            cachedTokens: Math.min(next.promptTokens, cachedTokens),
            prefillLeft: Math.max(1, wholeTokens - cachedTokens),
            nextToken: next.resumeOffset,
        });
        removePrefixes(engine, atMs, outputs);
    }
}

function hasRoom(engine: EngineState, sequence: EngineSequence): boolean {
    if (engine.running.length === 0) {
        return true;
    }
    const used = engine.running.reduce((sum, entry) => sum + countUsedTokens(entry.sequence), 0);
    return (
        engine.running.length < engine.settings.maximumRunning &&
        used + countUsedTokens(sequence) <= engine.settings.cacheTokens
    );
}

function countCachedTokens(engine: EngineState, sequence: EngineSequence): number {
    const missing = sequence.prefixHashes.findIndex(prefixHash => !engine.prefixes.has(prefixHash));
    const blocks = missing < 0 ? sequence.prefixHashes.length : missing;
    for (const prefixHash of sequence.prefixHashes.slice(0, blocks).reverse()) {
        engine.prefixes.delete(prefixHash);
        engine.prefixes.add(prefixHash);
    }
    return blocks * engine.settings.blockTokens;
}

function removePrefixes(engine: EngineState, atMs: number, outputs: EngineOutput[]): void {
    const used = engine.running.reduce((sum, entry) => sum + countUsedTokens(entry.sequence), 0);
    const roomBlocks = Math.floor((engine.settings.cacheTokens - used) / engine.settings.blockTokens);
    for (const prefixHash of engine.prefixes) {
        if (engine.prefixes.size <= roomBlocks) {
            return;
        }
        engine.prefixes.delete(prefixHash);
        outputs.push({ kind: EngineOutputKind.PrefixEvicted, atMs, prefixHash });
    }
}
