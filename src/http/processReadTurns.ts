/**
 * @module The turns in which bodies are read in this process, which has one event loop.
 */
import { createReadTurns, type ReadTurns } from "./createReadTurns";

/** Shared by everything that reads bodies. */
export const PROCESS_READ_TURNS: ReadTurns = createReadTurns(callback => void setImmediate(callback));
