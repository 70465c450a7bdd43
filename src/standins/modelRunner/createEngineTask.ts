/**
 * @module The task that drives an engine with the clock.
 */
import type { Clock } from "../../base/clock";
import { closeChannel, createChannel, offerMessage, startTask, take } from "../../base/csp";
import type { Disposable } from "../../base/disposableStore";
import { addSequence } from "../modelEngine/addSequence";
import { advanceEngine } from "../modelEngine/advanceEngine";
import { cancelSequence } from "../modelEngine/cancelSequence";
import { createEngineState } from "../modelEngine/createEngineState";
import type { EngineOutput, EngineSequence, EngineSettings, EngineState } from "../modelEngine/engineState";

/** A running engine. */
export interface EngineTask extends Disposable {
    readonly engine: EngineState;
    /** False if the engine's queue is full. */
    submitSequence(sequence: EngineSequence): boolean;
    cancelSequence(key: string): boolean;
}

/** What the task needs. */
export interface EngineTaskOptions {
    readonly clock: Clock;
    readonly settings?: Partial<EngineSettings>;
    /** Milliseconds added to each step now. */
    readonly readStepDelayMs: () => number;
    readonly handleOutput: (output: EngineOutput) => void;
}

/**
 * Starts the task of an engine. It sleeps while the engine is idle.
 *
 * @param options - Clock, speed and what receives the outputs
 * @returns The running engine
 * @example
 * const task = createEngineTask({ clock, readStepDelayMs: () => 0, handleOutput });
 */
export function createEngineTask(options: EngineTaskOptions): EngineTask {
    const { clock } = options;
    const engine = createEngineState(options.settings);
    const wakes = createChannel<true>(1);
    let wakeAtMs = Infinity;

    const scheduleWake = () => {
        const endsAtMs = engine.step?.endsAtMs;
        if (endsAtMs === undefined || endsAtMs >= wakeAtMs) {
            return;
        }
        wakeAtMs = endsAtMs;
        void clock.waitMs(endsAtMs - clock.readMonotonicMs()).then(() => {
            wakeAtMs = Infinity;
            offerMessage(wakes, true);
        });
    };
    startTask("model-engine", function* () {
        while ((yield* take(wakes)) !== undefined) {
            const stepDelayMs = options.readStepDelayMs();
            for (const output of advanceEngine(engine, clock.readMonotonicMs(), { stepDelayMs })) {
                options.handleOutput(output);
            }
            scheduleWake();
        }
    });
    return {
        engine,
        submitSequence: sequence => {
            const isAdded = addSequence(engine, sequence);
            offerMessage(wakes, true);
            return isAdded;
        },
        cancelSequence: key => cancelSequence(engine, key),
        dispose: () => closeChannel(wakes),
    };
}
