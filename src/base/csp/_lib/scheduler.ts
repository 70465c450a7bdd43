/**
 * @module Schedules the steps of tasks. A step runs a task from one `yield` to the next.
 *
 * By default js-csp runs each step of a task in a new turn of the event loop. A request needs about ten steps before
 * its first token, and under load a turn lasts milliseconds. This scheduler runs steps within the current turn, up to a
 * limit after which sockets and timers are served.
 */

/** Maximum number of steps in one turn of the event loop before I/O and timers are served again. */
const STEP_LIMIT_PER_TURN = 512;

const runInNextTurn = globalThis.setImmediate;
let stepsThisTurn = 0;

/**
 * Schedules a step: in this turn of the event loop, or in the next one if this turn has reached its limit of steps.
 *
 * @param step - Runs the step
 * @example
 * scheduleStep(() => resumeTask());
 */
export function scheduleStep(step: () => void): void {
    if (stepsThisTurn >= STEP_LIMIT_PER_TURN) {
        runInNextTurn(step);
        return;
    }
    if (stepsThisTurn === 0) {
        runInNextTurn(() => {
            stepsThisTurn = 0;
        });
    }
    stepsThisTurn++;
    process.nextTick(step);
}
