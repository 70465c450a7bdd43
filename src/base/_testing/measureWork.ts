/**
 * @module Counts the work of a piece of code, which, unlike its duration, is the same on every machine.
 */
import inspector from "node:inspector/promises";
import { mock } from "node:test";

/** Work that was done. */
export interface Work {
    /** Executions of the statement, of those in the named modules, that was executed most often. */
    readonly steps: number;
    /** Bytes that were copied between buffers. */
    readonly copiedBytes: number;
}

/**
 * Runs code and counts its work.
 *
 * @param moduleName - Only modules whose URL has this part count for `steps`
 * @param run - The code
 * @returns The work
 * @example
 * const work = await measureWork("/createEventSplitter.", () => pieces.forEach(splitter.push));
 */
export async function measureWork(moduleName: string, run: () => unknown): Promise<Work> {
    let copiedBytes = 0;
    const { concat } = Buffer;
    const copy = Buffer.prototype.copy;
    const copying = mock.method(Buffer.prototype, "copy", function (this: Buffer, ...options: Parameters<typeof copy>) {
        const copied = copy.apply(this, options);
        copiedBytes += copied;
        return copied;
    });
    const joining = mock.method(Buffer, "concat", (...options: Parameters<typeof concat>) => {
        const joined = concat(...options);
        copiedBytes += joined.length;
        return joined;
    });
    const session = new inspector.Session();
    session.connect();
    await session.post("Profiler.enable");
    await session.post("Profiler.startPreciseCoverage", { callCount: true, detailed: true });
    try {
        await run();
        const { result } = await session.post("Profiler.takePreciseCoverage");
        const counts = result
            .filter(({ url }) => url.includes(moduleName))
            .flatMap(({ functions }) => functions.flatMap(({ ranges }) => ranges.map(({ count }) => count)));
        return { steps: Math.max(0, ...counts), copiedBytes };
    } finally {
        session.disconnect();
        copying.mock.restore();
        joining.mock.restore();
    }
}
