/**
 * @module When the steps of tasks run.
 *
 * js-csp takes one turn of the event loop for each step of a task. A request passes through some ten steps before its
 * first token, and under load a turn lasts milliseconds. Here steps run within the turn, up to a bound after which
 * sockets and timers have their turn again.
 */

/** Steps that run within one turn of the event loop before input and output are served again. */
const STEPS_PER_TURN = 512;

const runInNextTurn = globalThis.setImmediate;
let stepsThisTurn = 0;

/**
 * Runs a step soon: within this turn of the event loop, or in the next one if this one has run many already.
 *
 * @param step - The step
 * @example
 * scheduleStep(() => resumeTask());
 */
export function scheduleStep(step: () => void): void {
    if (stepsThisTurn >= STEPS_PER_TURN) {
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
