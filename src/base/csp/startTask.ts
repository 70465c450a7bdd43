/**
 * @module Starts tasks. An exception thrown inside a js-csp process would terminate the program; `startTask` turns it
 * into a failure.
 */
import { createFailure } from "../createFailure";
import { createDisposableStore } from "../createDisposableStore";
import type { DisposableStore } from "../disposableStore";
import { type Failure, FailureKind } from "../failure";
import { FailureError } from "../failureError";
import { formatError } from "../formatError";
import type { TaskGenerator } from "./channel";
import { jsCsp } from "./jsCsp";

/** How a task ended: `failure` is absent if its body returned. */
export interface TaskEnd {
    readonly name: string;
    readonly failure?: Failure;
}

/** A running task. */
export interface Task {
    readonly name: string;
    /** Resolves when the body has ended and all resources of the task are disposed. Never rejects. */
    readonly ended: Promise<TaskEnd>;
}

/**
 * Starts a task. Everything that the body adds to its store is disposed when the body returns or throws.
 *
 * @param name - The task's name in logs and dumps
 * @param body - The body of the task: a generator function that receives the store of the task's resources
 * @returns The running task
 * @example
 * startTask("membership", function* (owned) {
 *     for (;;) { const message = yield* take(inbox); ... }
 * });
 */
export function startTask(name: string, body: (owned: DisposableStore) => TaskGenerator<void>): Task {
    const owned = createDisposableStore();
    let resolveEnd: (end: TaskEnd) => void;
    const ended = new Promise<TaskEnd>(resolve => {
        resolveEnd = resolve;
    });
    jsCsp.go(function* (): Generator {
        let failure: Failure | undefined;
        try {
            yield* body(owned);
        } catch (error) {
            failure = convertToFailure(name, error);
        }
        owned.dispose();
        resolveEnd({ name, failure });
    });
    return { name, ended };
}

function convertToFailure(name: string, error: unknown): Failure {
    if (error instanceof FailureError) {
        return error.failure;
    }
    return createFailure(FailureKind.TaskFailed, `Task ${name} failed: ${formatError(error)}`);
}
