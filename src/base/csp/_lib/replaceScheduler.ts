/**
 * @module Replaces the global `setImmediate` by `scheduleStep` while js-csp is loaded: js-csp keeps the function that
 * it finds at that time. Import this module before js-csp, and `restoreScheduler` after it.
 */
import { scheduleStep } from "./scheduler";

/** The original `setImmediate` of Node.js. */
export const nodeSetImmediate = globalThis.setImmediate;

globalThis.setImmediate = scheduleStep as unknown as typeof setImmediate;
