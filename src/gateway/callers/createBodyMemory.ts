/**
 * @module The memory of a gateway for the bodies of all its requests and answers together.
 */
import { createMemoryBudget, type MemoryBudget } from "../../base/createMemoryBudget";

/** Shares of the memory of the process; the rest is for the program, its heap and its connections. */
const REQUEST_SHARE = 0.35;
const ANSWER_SHARE = 0.125;

/** The memory for bodies. */
export interface BodyMemory {
    readonly requests: MemoryBudget;
    readonly answers: MemoryBudget;
}

/**
 * Creates the budgets, of which nothing is held.
 *
 * @param memoryBytesMax - Memory that the process may use
 * @returns The budgets
 * @example
 * const lease = createBodyMemory(settings.memoryBytesMax).requests.openLease();
 */
export function createBodyMemory(memoryBytesMax: number): BodyMemory {
    return {
        requests: createMemoryBudget(memoryBytesMax * REQUEST_SHARE),
        answers: createMemoryBudget(memoryBytesMax * ANSWER_SHARE),
    };
}
