/**
 * @module What one runner can serve.
 */
import { addSequence } from "../../src/standins/modelEngine/addSequence";
import { advanceEngine } from "../../src/standins/modelEngine/advanceEngine";
import { createEngineState } from "../../src/standins/modelEngine/createEngineState";
import { EngineOutputKind } from "../../src/standins/modelEngine/engineState";
import { BLOCK_TOKENS, createWorkload } from "./workload";

const MEASURED_MS = 60_000;
const WAITING = 4;

/**
 * Measures the requests a second that one runner serves when some always wait.
 *
 * @param seed - Seed of the workload
 * @returns Requests a second
 * @example
 * measureCapacity(1);
 */
export function measureCapacity(seed: number): number {
    const engine = createEngineState({ blockTokens: BLOCK_TOKENS });
    const drawRequest = createWorkload(seed, 1);
    let finished = 0;
    for (let nowMs = 0; nowMs < MEASURED_MS; nowMs += 10) {
        while (engine.waiting.length < WAITING) {
            const request = drawRequest();
            addSequence(engine, {
                key: request.requestId,
                priority: 0,
                promptTokens: request.promptTokens,
                prefixHashes: request.prefixHashes,
                resumeOffset: 0,
                importedTokens: 0,
                answerTokens: request.answerTokens,
            });
        }
        const outputs = advanceEngine(engine, nowMs);
        finished += outputs.filter(output => output.kind === EngineOutputKind.Finished).length;
    }
    return (finished * 1_000) / MEASURED_MS;
}
