/**
 * @module The exception that carries a failure through code which can only throw.
 */
import type { Failure } from "./failure";

/**
 * An error whose cause is a typed failure.
 */
export class FailureError extends Error {
    constructor(public readonly failure: Failure) {
        super(`${failure.kind}: ${failure.message}`);
        this.name = "FailureError";
    }
}
