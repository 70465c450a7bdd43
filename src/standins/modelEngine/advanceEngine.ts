/**
 * @module The step loop of an engine.
 */
import { finishStep } from "./_lib/finishStep";
import { joinBatch } from "./_lib/joinBatch";
import { planStep } from "./_lib/planStep";
import type { EngineOutput, EngineState } from "./engineState";

/**
 * Computes all steps that end by `nowMs` and begins the next one. Steps follow each other without a gap while there is
 * work, however late this is called; a step begun by an idle engine begins at `nowMs`.
 *
 * @param engine - The engine; changed. Its `step` tells when to call again
 * @param nowMs - The time, not before that of the last call
 * @param options - `stepDelayMs`: added to each step begun by this call
 * @returns What came out, in order
 * @example
 * addSequence(engine, sequence);
 * advanceEngine(engine, 0);
 * const outputs = advanceEngine(engine, 100);
 */
export function advanceEngine(
    engine: EngineState,
    nowMs: number,
    options: { readonly stepDelayMs?: number } = {},
): readonly EngineOutput[] {
    const outputs: EngineOutput[] = [];
    const beginStep = (atMs: number) => {
        joinBatch(engine, atMs, outputs);
        engine.step = planStep(engine, atMs, options.stepDelayMs ?? 0);
    };
    if (engine.step === undefined) {
        beginStep(nowMs);
    }
    while (engine.step !== undefined && engine.step.endsAtMs <= nowMs) {
        const { endsAtMs } = engine.step;
        finishStep(engine, engine.step, outputs);
        beginStep(endsAtMs);
    }
    return outputs;
}
