/**
 * @module Restores the original `setImmediate` after js-csp was loaded.
 */
import { nodeSetImmediate } from "./replaceScheduler";

globalThis.setImmediate = nodeSetImmediate;
