/**
 * @module The results of a step.
 */
import {
    type EngineOutput,
    EngineOutputKind,
    type EngineState,
    type EngineStep,
    type RunningSequence,
} from "../engineState";

/**
 * Applies a step that has ended. The step that ends a prefill also gives the first token.
 *
 * @param engine - The engine; changed
 * @param step - The step
 * @param outputs - Receives tokens, ends and cached prefixes
 * @example
 * finishStep(engine, step, outputs);
 */
export function finishStep(engine: EngineState, step: EngineStep, outputs: EngineOutput[]): void {
    for (const entry of [...engine.running]) {
        const prefilled = step.prefills.get(entry.sequence.key) ?? 0;
        engine.prefilledTokens += prefilled;
        entry.prefillLeft -= prefilled;
        const hasEndedPrefill = prefilled > 0 && entry.prefillLeft === 0;
        if (hasEndedPrefill) {
            storePrefixes(engine, entry, step.endsAtMs, outputs);
        }
        if (hasEndedPrefill || step.decodes.has(entry.sequence.key)) {
            addToken(engine, entry, step.endsAtMs, outputs);
        }
    }
}

function addToken(engine: EngineState, entry: RunningSequence, atMs: number, outputs: EngineOutput[]): void {
    const { key, answerTokens } = entry.sequence;
    if (entry.nextToken < answerTokens) {
        outputs.push({ kind: EngineOutputKind.Token, atMs, key, index: entry.nextToken });
        entry.nextToken++;
    }
    if (entry.nextToken >= answerTokens) {
        engine.running.splice(engine.running.indexOf(entry), 1);
        outputs.push({ kind: EngineOutputKind.Finished, atMs, key, cachedTokens: entry.cachedTokens });
    }
}

function storePrefixes(engine: EngineState, entry: RunningSequence, atMs: number, outputs: EngineOutput[]): void {
    for (const prefixHash of [...entry.sequence.prefixHashes].reverse()) {
        if (!engine.prefixes.delete(prefixHash)) {
            outputs.push({ kind: EngineOutputKind.PrefixCached, atMs, prefixHash });
        }
        engine.prefixes.add(prefixHash);
    }
}
