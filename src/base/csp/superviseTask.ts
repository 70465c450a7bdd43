/**
 * @module Restarts a task that fails.
 */
import type { Clock } from "../clock";
import type { DisposableStore } from "../disposableStore";
import type { Failure } from "../failure";
import type { TaskGenerator } from "./channel";
import { startTask, type TaskEnd } from "./startTask";

const INITIAL_RESTART_DELAY_MS = 50;
const MAXIMUM_RESTART_DELAY_MS = 5_000;

/** Options of `superviseTask`. */
export interface SupervisionOptions {
    readonly clock: Clock;
    /** Called on each failure, before the delay and the restart. If it throws, the task is restarted all the same. */
    readonly reportFailure: (name: string, failure: Failure, restartsSoFar: number) => void;
}

/**
 * Runs a task and restarts it whenever it fails, after a delay that doubles with each restart up to a maximum, and is
 * short again once the task has run for longer than that. A body that returns is not restarted.
 *
 * @param name - The task's name
 * @param body - The task's body; called at each start with a new, empty store
 * @param options - The clock for the delays, and the callback that receives failures
 * @returns A promise that resolves when the body has returned, and never rejects
 * @example
 * superviseTask("config-poll", pollConfiguration, { clock, reportFailure });
 */
export async function superviseTask(
    name: string,
    body: (owned: DisposableStore) => TaskGenerator<void>,
    options: SupervisionOptions,
): Promise<TaskEnd> {
    const { clock } = options;
    let delayMs = INITIAL_RESTART_DELAY_MS;
    for (let restarts = 0; ; restarts++) {
        const startedAtMs = clock.readMonotonicMs();
        const end = await startTask(name, body).ended;
        if (end.failure === undefined) {
            return end;
        }
        reportFailure(options, end.failure, name, restarts);
        if (clock.readMonotonicMs() - startedAtMs > MAXIMUM_RESTART_DELAY_MS) {
            delayMs = INITIAL_RESTART_DELAY_MS;
        }
        await clock.waitMs(delayMs);
        delayMs = Math.min(MAXIMUM_RESTART_DELAY_MS, delayMs * 2);
    }
}

function reportFailure(options: SupervisionOptions, failure: Failure, name: string, restarts: number): void {
    try {
        options.reportFailure(name, failure, restarts);
    } catch {
        // The task matters more than the report of its failure.
    }
}
