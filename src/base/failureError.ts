/**
 * @module The exception that carries a `Failure` through code that reports errors by throwing.
 */
import type { Failure } from "./failure";

/**
 * An error that wraps a typed failure.
 */
export class FailureError extends Error {
    constructor(public readonly failure: Failure) {
        super(`${failure.kind}: ${failure.message}`);
        this.name = "FailureError";
    }
}
