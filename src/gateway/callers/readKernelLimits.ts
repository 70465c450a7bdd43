/**
 * @module Reads the limits that the kernel sets for this process.
 */
import fs from "node:fs";

const KERNEL_LIMITS_FILE = "/proc/self/limits";

/**
 * Reads the limits of the process.
 *
 * @returns The text of the kernel; an empty one on a system that doesn't show it
 * @example
 * computeConnectionLimit(4_100, readKernelLimits());
 */
export function readKernelLimits(): string {
    return fs.existsSync(KERNEL_LIMITS_FILE) ? fs.readFileSync(KERNEL_LIMITS_FILE, "utf8") : "";
}
