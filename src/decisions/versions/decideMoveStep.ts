/**
 * @module Decides the next step of a version move.
 */
import { MoveState, type VersionMove } from "../../model/configuration";
import {
    EARLIEST_FINISH_FRACTION,
    FINISH_MARGIN_MS,
    MAXIMUM_OBSERVATION_MS,
    MOVE_SHARES,
    OBSERVATION_FRACTION,
    MINIMUM_OBSERVATIONS,
    OBSERVATIONS_FOR_EARLY_STEP,
    MINIMUM_STAY_MS,
} from "./constants";
import { type MoveFacts, type MoveStep, MoveStepKind } from "./moveStep";

/** Planned times of a move. */
interface MoveTimes {
    /** Latest time at which the holder can decide to finish. */
    readonly lastFinishWallMs: number;
    readonly earliestFinishWallMs: number;
    /** Planned time at share 1. */
    readonly observationMs: number;
    /** Planned time at each smaller share. */
    readonly stayMs: number;
    /** Shortest time at each share. */
    readonly minimumStayMs: number;
}

/**
 * Decides the next step. The share is raised early once there are enough attempts, including some on every significant
 * route, and otherwise at its planned time with a minimum of attempts, for services with little traffic. It is never
 * raised beyond what the new version's endpoints can serve. A move that shows a fault or can't be done by its deadline
 * is rolled back.
 *
 * @param move - The move as stored in the configuration
 * @param facts - Time, faults, evidence and capacity
 * @returns The step, with its reason
 * @example
 * decideMoveStep(move, { nowWallMs, attemptsSinceStep: 60, oldAttemptsSinceStep: 5000, ... });
 */
export function decideMoveStep(move: VersionMove, facts: MoveFacts): MoveStep {
    if (move.state !== MoveState.Moving) {
        return buildStep(MoveStepKind.Wait, move.share, move.reason);
    }
    if (facts.fault !== undefined) {
        return buildStep(MoveStepKind.RollBack, 0, facts.fault);
    }
    if (facts.nowWallMs >= move.doneByWallMs - FINISH_MARGIN_MS) {
        return buildStep(MoveStepKind.RollBack, 0, `Not done in time: ${describeMissingEvidence(move, facts)}.`);
    }
    if (move.startedWallMs === undefined) {
        return decideBegin(facts);
    }
    const times = planTimes(move, move.startedWallMs);
    const stayedMs = facts.nowWallMs - (move.steppedWallMs ?? move.startedWallMs);
    return move.share >= 1 ? decideFinish(move, facts, times, stayedMs) : decideRaise(move, facts, times, stayedMs);
}

function decideBegin(facts: MoveFacts): MoveStep {
    const first = MOVE_SHARES[0] ?? 1;
    return facts.supportableShare > 0
        ? buildStep(MoveStepKind.Begin, first, "The first share reveals faults that appear immediately.")
        : buildStep(MoveStepKind.Wait, 0, "No live endpoint serves the new version yet.");
}

function decideRaise(move: VersionMove, facts: MoveFacts, times: MoveTimes, stayedMs: number): MoveStep {
    const next = MOVE_SHARES.find(share => share > move.share) ?? 1;
    if (stayedMs < times.minimumStayMs) {
        return buildStep(MoveStepKind.Wait, move.share, "The share was raised too recently.");
    }
    if (facts.supportableShare < next) {
        return buildStep(MoveStepKind.Wait, move.share, "The new version has too few endpoints for a larger share.");
    }
    if (hasEvidence(facts)) {
        return buildStep(MoveStepKind.Raise, next, `${facts.attemptsSinceStep} attempts without a fault.`);
    }
    if (stayedMs >= times.stayMs && hasMinimumEvidence(facts)) {
        return buildStep(MoveStepKind.Raise, next, `Planned time reached; ${describeMissingEvidence(move, facts)}.`);
    }
    return buildStep(MoveStepKind.Wait, move.share, `Waiting: ${describeMissingEvidence(move, facts)}.`);
}

function decideFinish(move: VersionMove, facts: MoveFacts, times: MoveTimes, stayedMs: number): MoveStep {
    const isLastChance = facts.nowWallMs >= times.lastFinishWallMs;
    const isObservedLongEnough = stayedMs >= times.observationMs && facts.nowWallMs >= times.earliestFinishWallMs;
    if (facts.supportableShare < 1) {
        return buildStep(MoveStepKind.Wait, 1, "The new version has too few endpoints to serve all requests.");
    }
    if (isObservedLongEnough && (hasEvidence(facts) || (isLastChance && hasMinimumEvidence(facts)))) {
        return buildStep(MoveStepKind.Finish, 1, `${facts.attemptsSinceStep} attempts at full share without a fault.`);
    }
    return buildStep(MoveStepKind.Wait, 1, "Observing the new version at full share.");
}

function planTimes(move: VersionMove, startedWallMs: number): MoveTimes {
    // Two seconds before the margin, so that a holder that decides once a second still finishes in time.
    const lastFinishWallMs = move.doneByWallMs - FINISH_MARGIN_MS - 2_000;
    const totalMs = Math.max(0, lastFinishWallMs - startedWallMs);
    const observationMs = Math.min(MAXIMUM_OBSERVATION_MS, totalMs * OBSERVATION_FRACTION);
    const stayMs = (totalMs - observationMs) / MOVE_SHARES.length;
    const earliestFinishWallMs = startedWallMs + totalMs * EARLIEST_FINISH_FRACTION;
    return {
        lastFinishWallMs,
        earliestFinishWallMs,
        observationMs,
        stayMs,
        minimumStayMs: Math.min(MINIMUM_STAY_MS, stayMs),
    };
}

function hasEvidence(facts: MoveFacts): boolean {
    return facts.attemptsSinceStep >= OBSERVATIONS_FOR_EARLY_STEP && facts.unseenRoutes.length === 0;
}

// A service with almost no traffic can't produce any more evidence.
function hasMinimumEvidence(facts: MoveFacts): boolean {
    const isAlmostIdle = facts.oldAttemptsSinceStep + facts.attemptsSinceStep < MINIMUM_OBSERVATIONS;
    return isAlmostIdle || facts.attemptsSinceStep >= MINIMUM_OBSERVATIONS;
}

function describeMissingEvidence(move: VersionMove, facts: MoveFacts): string {
    if (facts.supportableShare < 1 && facts.supportableShare <= move.share) {
        return "the new version has too few endpoints";
    }
    const routes =
        facts.unseenRoutes.length > 0 ? `, routes with too few attempts: ${facts.unseenRoutes.join(", ")}` : "";
    return `${facts.attemptsSinceStep} attempts on the new version at share ${move.share}${routes}`;
}

function buildStep(kind: MoveStepKind, share: number, reason: string): MoveStep {
    return { kind, share, reason };
}
