/**
 * @module A queue of events for simulations.
 */

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
    const heap: { readonly atMs: number; readonly run: (atMs: number) => void }[] = [];
    const readAt = (index: number) => heap[index]?.atMs ?? Number.POSITIVE_INFINITY;
    const swap = (left: number, right: number) => {
        const [first, second] = [heap[left], heap[right]];
        if (first !== undefined && second !== undefined) {
            heap[left] = second;
            heap[right] = first;
        }
    };
    const takeFirst = () => {
        const first = heap[0];
        const last = heap.pop();
        if (last !== undefined && heap.length > 0) {
            heap[0] = last;
            for (let index = 0; ;) {
                const left = 2 * index + 1;
                const least = readAt(left + 1) < readAt(left) ? left + 1 : left;
                if (readAt(least) >= readAt(index)) {
                    break;
                }
                swap(index, least);
                index = least;
            }
        }
        return first;
    };
    return {
        add: (atMs: number, run: (atMs: number) => void) => {
            heap.push({ atMs, run });
            for (let index = heap.length - 1; index > 0;) {
                const parent = Math.floor((index - 1) / 2);
                if (readAt(parent) <= readAt(index)) {
                    break;
                }
                swap(index, parent);
                index = parent;
            }
        },
        run: () => {
            for (let event = takeFirst(); event !== undefined; event = takeFirst()) {
                event.run(event.atMs);
            }
        },
    };
}
