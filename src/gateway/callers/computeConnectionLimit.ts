/**
 * @module How many connections of callers a process takes.
 */

/** File descriptors that are reserved for other connections of the process. */
const RESERVED_DESCRIPTORS = 700;
/** Connections that a process takes however few descriptors it has. */
const CONNECTIONS_MIN = 100;
const OPEN_FILES_LINE = /^Max open files +(\d+)/m;

/**
 * Computes the limit from the descriptors of the settings and those that the kernel allows, which may be fewer: beyond the
 * kernel's limit connections would be closed without an answer.
 *
 * @param settingsDescriptors - Descriptors of the settings
 * @param kernelLimits - Text of `/proc/self/limits`; empty if there is no such file
 * @returns The most connections
 * @example
 * computeConnectionLimit(4_100, "Max open files   600   600   files"); //=> 100
 */
export function computeConnectionLimit(settingsDescriptors: number, kernelLimits: string): number {
    const kernelDescriptors = Number(OPEN_FILES_LINE.exec(kernelLimits)?.[1] ?? Number.POSITIVE_INFINITY);
    return Math.max(CONNECTIONS_MIN, Math.min(settingsDescriptors, kernelDescriptors) - RESERVED_DESCRIPTORS);
}
