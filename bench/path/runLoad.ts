/**
 * @module A steady number of open streams, measured.
 */
import http from "node:http";
import { build as buildHistogram } from "hdr-histogram-js";
import { readProcessUsage } from "../_lib/readProcessUsage";
import { openStream, type StreamTarget } from "./openStream";

/** What to run. */
export interface LoadOptions {
    readonly target: StreamTarget;
    readonly openStreams: number;
    readonly durationMs: number;
    readonly tokensPerAnswer: number;
    /** Process whose use is measured. */
    readonly processId: number;
    /** Distinguishes prompts of different runs. */
    readonly label: string;
}

/** What was measured. */
export interface LoadResult {
    readonly firstTokenMedianMs: number;
    readonly firstToken99thMs: number;
    readonly requestsPerSecond: number;
    readonly tokensPerSecond: number;
    /** Cores used by the process. */
    readonly cores: number;
    readonly residentBytes: number;
    readonly completed: number;
    readonly failed: number;
    readonly problems: readonly string[];
}

const MICROS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const RESIDENT_SAMPLE_MS = 200;

/**
 * Keeps a number of streams open for a time, each started again when it ends, and measures.
 *
 * @param options - Target, number of streams, duration
 * @returns Times, rates and use
 * @example
 * const result = await runLoad({ target, openStreams: 100, durationMs: 5_000, tokensPerAnswer: 50, processId, label: "a" });
 */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
    const agent = new http.Agent({ keepAlive: true, maxSockets: options.openStreams });
    const firstTokens = buildHistogram({ numberOfSignificantValueDigits: 3 });
    const problems = new Set<string>();
    let completed = 0;
    let failed = 0;
    let tokens = 0;
    const startedMs = performance.now();
    const before = readProcessUsage(options.processId);
    let residentBytes = before.residentBytes;
    const sampler = setInterval(() => {
        residentBytes = Math.max(residentBytes, readProcessUsage(options.processId).residentBytes);
    }, RESIDENT_SAMPLE_MS);

    const runOne = async (slot: number): Promise<void> => {
        // Starts are spread over the length of one answer, so that streams are in different phases.
        await new Promise(resolve => setTimeout(resolve, (slot / options.openStreams) * MS_PER_SECOND));
        for (let turn = 0; performance.now() - startedMs < options.durationMs; turn++) {
            const content = `${options.label} question ${slot}-${turn}: what is out?`;
            const result = await openStream(options.target, agent, {
                model: "assistant",
                stream: true,
                max_tokens: options.tokensPerAnswer,
                messages: [{ role: "user", content }],
            });
            tokens += result.tokens;
            completed += result.isComplete ? 1 : 0;
            failed += result.isComplete ? 0 : 1;
            if (result.problem !== undefined) {
                problems.add(result.problem);
            }
            if (result.firstTokenMs !== undefined) {
                firstTokens.recordValue(Math.round(result.firstTokenMs * MICROS_PER_MS));
            }
        }
    };
    await Promise.all(Array.from({ length: options.openStreams }, (_unused, slot) => runOne(slot)));
    clearInterval(sampler);
    agent.destroy();
    const seconds = (performance.now() - startedMs) / MS_PER_SECOND;
    const used = readProcessUsage(options.processId).processorSeconds - before.processorSeconds;
    return {
        firstTokenMedianMs: firstTokens.getValueAtPercentile(50) / MICROS_PER_MS,
        firstToken99thMs: firstTokens.getValueAtPercentile(99) / MICROS_PER_MS,
        requestsPerSecond: completed / seconds,
        tokensPerSecond: tokens / seconds,
        cores: used / seconds,
        residentBytes,
        completed,
        failed,
        problems: [...problems].slice(0, 3),
    };
}
