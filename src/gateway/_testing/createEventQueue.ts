/**
 * @module A queue of events for simulations.
 */
import { Heap } from "heap-js";

/** Events that run in the order of their times. */
export interface EventQueue {
    add(atMs: number, run: (atMs: number) => void): void;
    /** Runs all events, those that they add included. */
    run(): void;
}

/**
 * Creates an empty queue.
 *
 * @returns The queue
 * @example
 * events.add(nowMs + 250, sendReport);
 */
export function createEventQueue(): EventQueue {
    const heap = new Heap<{ readonly atMs: number; readonly run: (atMs: number) => void }>(
        (left, right) => left.atMs - right.atMs,
    );
    return {
        add: (atMs, run) => void heap.push({ atMs, run }),
        run: () => {
            for (let event = heap.pop(); event !== undefined; event = heap.pop()) {
                event.run(event.atMs);
            }
        },
    };
}
