/**
 * @module Decides the next phase of an ordered move of a service to another version.
 */
import { RolloutPhase } from "../../model/gateway";
import { planRollout } from "./planRollout";

/** What is known of a move. */
export interface RolloutFacts {
    readonly phase: RolloutPhase;
    readonly durationMs: number;
    /** Time since the order, in milliseconds. */
    readonly elapsedMs: number;
    /** Time since the phase began, in milliseconds. */
    readonly phaseForMs: number;
    /** What is missing before the target counts as good. */
    readonly missing: readonly string[];
    /** True if endpoints of the target can serve requests. */
    readonly hasTargets: boolean;
    /** True if the target was the service's only version when it was ordered: there is nothing to move. */
    readonly isInUse: boolean;
}

/** A phase, and why it begins. */
export interface RolloutStep {
    readonly phase: RolloutPhase;
    /** A sentence for operators; absent while the phase stays the same. */
    readonly reason?: string;
}

const COMPLETION: RolloutStep = { phase: RolloutPhase.Completed, reason: "No fault was shown by the deadline." };

/**
 * Decides the phase. A move that is undecided at its end is rolled back, also while no endpoint of the old version is
 * there: those may come back, and a bad version must not get their requests. A good version whose shift comes late is
 * still shifted before the deadline.
 *
 * @param facts - What is known of the move
 * @returns The phase, the present one included
 * @example
 * decideRolloutPhase({ phase: RolloutPhase.Trial, elapsedMs: 0, durationMs: 15_000, ... }).phase;
 */
export function decideRolloutPhase(facts: RolloutFacts): RolloutStep {
    const { phase, elapsedMs, missing, hasTargets, isInUse } = facts;
    const { shiftMs, endMs, lateShiftMs, lateEndMs } = planRollout(facts.durationMs);
    if (phase >= RolloutPhase.RolledBack || elapsedMs < shiftMs) {
        return { phase };
    }
    if (phase === RolloutPhase.Shifting) {
        const isLate = elapsedMs - facts.phaseForMs >= endMs;
        return elapsedMs >= (isLate ? lateEndMs : endMs) ? COMPLETION : { phase };
    }
    if (elapsedMs >= endMs && hasTargets && isInUse) {
        return COMPLETION;
    }
    const canShift = hasTargets && (missing.length === 0 || isInUse);
    if (canShift && elapsedMs < lateShiftMs) {
        const reason = isInUse ? "No other version was in use." : "No fault was shown.";
        return { phase: RolloutPhase.Shifting, reason };
    }
    if (elapsedMs < endMs) {
        return { phase };
    }
    const undecided = hasTargets
        ? missing.join("; ") || "proved, but too late for a shift"
        : "no endpoint of the new version";
    return { phase: RolloutPhase.RolledBack, reason: `Undecided at the deadline: ${undecided}.` };
}
