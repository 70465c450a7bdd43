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
    /** Called on each failure, before the delay and the restart. */
    readonly reportFailure: (name: string, failure: Failure, restartsSoFar: number) => void;
}

/**
 * Runs a task and restarts it whenever it fails, after a delay that doubles with each restart up to a maximum. A
 * body that returns is not restarted.
 *
 * @param name - The task's name
 * @param body - The task's body; called at each start with a new, empty store
 * @param options - The clock for the delays, and the callback that receives failures
 * @returns A promise that resolves when the body has returned
 * @example
 * superviseTask("config-poll", pollConfiguration, { clock, reportFailure });
 */
export async function superviseTask(
    name: string,
    body: (owned: DisposableStore) => TaskGenerator<void>,
    options: SupervisionOptions,
): Promise<TaskEnd> {
    for (let restarts = 0; ; restarts++) {
        const end = await startTask(name, body).ended;
        if (end.failure === undefined) {
            return end;
        }
        options.reportFailure(name, end.failure, restarts);
        await options.clock.waitMs(Math.min(MAXIMUM_RESTART_DELAY_MS, INITIAL_RESTART_DELAY_MS * 2 ** restarts));
    }
}
