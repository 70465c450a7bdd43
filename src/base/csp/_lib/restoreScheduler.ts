/**
 * @module Gives `setImmediate` back after js-csp was loaded.
 */
import { nodeSetImmediate } from "./replaceScheduler";

globalThis.setImmediate = nodeSetImmediate;
