/**
 * @module State dumps of a process, for debugging.
 */

/** A component that can dump its state. The dump contains no secrets and no request bodies. */
export interface DumpSource {
    readonly name: string;
    /** Returns a JSON-compatible value of bounded size. */
    dumpState(): unknown;
}
