/**
 * @module Processor time and memory of this process.
 */
import v8 from "node:v8";
import vm from "node:vm";
import { type FigureLabel, fitMean } from "./fitFigure";
import type { NewFigure } from "./figures";

const ROUNDS = 7;

v8.setFlagsFromString("--expose-gc");
const collectGarbage = vm.runInNewContext("gc") as () => void;

/**
 * Measures the processor time of a call. Processor time, unlike wall time, does not count waits for a busy machine.
 *
 * @param label - What the call does
 * @param calls - Calls of one round; seven rounds count, one more before them warms up
 * @param call - The call; gets the number of calls before it
 * @returns Mean over rounds, in microseconds
 * @example
 * measureProcessor({ what: "a decision", unit: "µs" }, 10_000, () => decide());
 */
export function measureProcessor(label: FigureLabel, calls: number, call: (index: number) => void): NewFigure {
    const values = Array.from({ length: ROUNDS + 1 }, (_unused, round) => {
        const before = process.cpuUsage();
        for (let index = 0; index < calls; index++) {
            call(round * calls + index);
        }
        return readProcessorMicros(before) / calls;
    });
    return fitMean(label, values.slice(1));
}

/**
 * Reads the processor time since an earlier reading.
 *
 * @param before - The earlier `process.cpuUsage()`
 * @returns Microseconds, user and system
 * @example
 * const before = process.cpuUsage();
 * const micros = readProcessorMicros(before);
 */
export function readProcessorMicros(before: NodeJS.CpuUsage): number {
    const { user, system } = process.cpuUsage(before);
    return user + system;
}

/**
 * Reads the memory in use after a collection of garbage, buffers included.
 *
 * @returns Bytes
 * @example
 * const before = readHeapBytes();
 */
export function readHeapBytes(): number {
    collectGarbage();
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}
