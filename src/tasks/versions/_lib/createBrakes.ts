/**
 * @module The version moves that a node has braked: their new version gets no more requests. A brake is never released.
 */
import { LRUCache } from "lru-cache";

const MAXIMUM_BRAKES = 1_000;

/** Brakes by version move. */
export interface Brakes {
    /** Sets a brake; a later reason does not replace the first. Returns true if it was not set before. */
    setBrake(moveName: string, reason: string): boolean;
    /** Returns why a move is braked; `undefined` if it is not. */
    findReason(moveName: string): string | undefined;
    /** Lists the reasons by move. */
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
    const reasons = new LRUCache<string, string>({ max: MAXIMUM_BRAKES });
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
