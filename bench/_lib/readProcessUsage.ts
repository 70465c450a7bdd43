/**
 * @module Processor time and memory of another process, from the kernel.
 */
import fs from "node:fs";

const CLOCK_TICKS_PER_SECOND = 100;
const BYTES_PER_KIBIBYTE = 1_024;

/** What a process has used. */
export interface ProcessUsage {
    /** User and system time since its start, in seconds. */
    readonly processorSeconds: number;
    readonly residentBytes: number;
}

/**
 * Reads what a process has used.
 *
 * @param processId - Its id
 * @returns Processor time and resident memory
 * @example
 * readProcessUsage(node.processId).residentBytes;
 */
export function readProcessUsage(processId: number): ProcessUsage {
    const stat = fs.readFileSync(`/proc/${processId}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    const status = fs.readFileSync(`/proc/${processId}/status`, "utf8");
    const resident = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    return { processorSeconds: ticks / CLOCK_TICKS_PER_SECOND, residentBytes: resident * BYTES_PER_KIBIBYTE };
}
