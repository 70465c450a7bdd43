/**
 * @module Puts the scheduler in place of `setImmediate` while js-csp is loaded, which keeps what it finds then. Import it
 * before js-csp, and `restoreScheduler` after it.
 */
import { scheduleStep } from "./scheduler";

/** Node's own function. */
export const nodeSetImmediate = globalThis.setImmediate;

globalThis.setImmediate = scheduleStep as unknown as typeof setImmediate;
