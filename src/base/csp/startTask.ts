/**
 * @module Supervised tasks. A throw inside a js-csp process would end the whole program; here it becomes a failure.
 */
import { createFailure } from "../createFailure";
import { createDisposableStore } from "../createDisposableStore";
import type { DisposableStore } from "../disposableStore";
import { type Failure, FailureKind } from "../failure";
import { FailureError } from "../failureError";
import type { Step } from "./channel";
import { jsCsp } from "./jsCsp";

/** How a task ended: `failure` is absent when its body returned. */
export interface TaskEnd {
    readonly name: string;
    readonly failure?: Failure;
}

/** A running task. */
export interface Task {
    readonly name: string;
    /** Resolves when the body has ended and all that the task owned is disposed. Never rejects. */
    readonly ended: Promise<TaskEnd>;
}

/**
 * Starts a task. What the body adds to its store is disposed when the body ends, however it ends.
 *
 * @param name - The task's name in logs and dumps
 * @param body - The task: a generator that receives the store of what it owns
 * @returns The running task
 * @example
 * startTask("membership", function* (owned) {
 *     for (;;) { const message = yield* take(inbox); ... }
 * });
 */
export function startTask(name: string, body: (owned: DisposableStore) => Step<void>): Task {
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
    const message = error instanceof Error ? (error.stack ?? error.message) : String(error);
    return createFailure(FailureKind.TaskFailed, `Task ${name} failed: ${message}`);
}
