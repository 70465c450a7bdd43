/**
 * @module Dumps of a process's state.
 */

/** A part of the program that can show its state. Secrets and request bodies are left out. */
export interface DumpSource {
    readonly name: string;
    /** Gives a JSON-compatible value of bounded size. */
    dumpState(): unknown;
}
