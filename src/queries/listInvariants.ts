/**
 * @module Shows the program's invariants.
 */
import { countInvariantViolations, Invariant } from "../base/assertInvariant";

/** An invariant with how often this process found it broken. */
export interface InvariantView {
    readonly invariant: Invariant;
    readonly breaches: number;
}

/**
 * Lists every invariant, those that always held included.
 *
 * @returns One entry an invariant
 * @example
 * listInvariants().filter(({ breaches }) => breaches > 0);
 */
export function listInvariants(): readonly InvariantView[] {
    const counts = countInvariantViolations();
    return Object.values(Invariant).map(invariant => ({ invariant, breaches: counts.get(invariant) ?? 0 }));
}
