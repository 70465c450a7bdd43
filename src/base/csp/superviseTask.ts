/**
 * @module Restarting a task that failed.
 */
import type { Clock } from "../clock";
import type { DisposableStore } from "../disposableStore";
import type { Failure } from "../failure";
import type { Step } from "./channel";
import { startTask, type TaskEnd } from "./startTask";

const FIRST_RESTART_DELAY_MS = 50;
const LONGEST_RESTART_DELAY_MS = 5_000;

/** What a supervisor needs to know. */
export interface SupervisionOptions {
    readonly clock: Clock;
    /** Called on each failure, before the restart. */
    readonly reportFailure: (name: string, failure: Failure, restartsSoFar: number) => void;
}

/**
 * Runs a task and starts it again, after a growing delay, whenever it fails. A body that returns is not restarted.
 *
 * @param name - The task's name
 * @param body - The task's body; called anew at each start, with a fresh store
 * @param options - The clock and where failures are reported
 * @returns A promise of the final, regular end
 * @example
 * superviseTask("config-poll", pollConfiguration, { clock, reportFailure });
 */
export async function superviseTask(
    name: string,
    body: (owned: DisposableStore) => Step<void>,
    options: SupervisionOptions,
): Promise<TaskEnd> {
    for (let restarts = 0; ; restarts++) {
        const end = await startTask(name, body).ended;
        if (end.failure === undefined) {
            return end;
        }
        options.reportFailure(name, end.failure, restarts);
        await options.clock.waitMs(Math.min(LONGEST_RESTART_DELAY_MS, FIRST_RESTART_DELAY_MS * 2 ** restarts));
    }
}
