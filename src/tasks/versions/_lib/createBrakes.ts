/**
 * @module The brakes of a node: one-way for each move.
 */
import { LRUCache } from "lru-cache";

const REMEMBERED_BRAKES = 1_000;

/** Brakes by move. */
export interface Brakes {
    /** Sets a brake; the first reason stays. True if it was not set before. */
    setBrake(moveName: string, reason: string): boolean;
    /** Why a move is braked; `undefined` if it is not. */
    findReason(moveName: string): string | undefined;
    list(): Readonly<Record<string, string>>;
}

/**
 * Creates an empty set of brakes.
 *
 * @returns The brakes
 * @example
 * const brakes = createBrakes();
 * brakes.setBrake("move-1", "50% of 8 attempts failed.");
 */
export function createBrakes(): Brakes {
    const reasons = new LRUCache<string, string>({ max: REMEMBERED_BRAKES });
    return {
        setBrake: (moveName, reason) => {
            if (reasons.has(moveName)) {
                return false;
            }
            reasons.set(moveName, reason);
            return true;
        },
        findReason: moveName => reasons.get(moveName),
        list: () => Object.fromEntries(reasons.entries()),
    };
}
