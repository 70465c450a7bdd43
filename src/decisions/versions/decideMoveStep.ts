/**
 * @module The next step of a version move.
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

interface MoveTimes {
    /** When the decision to finish must have been made at the latest. */
    readonly lastFinishWallMs: number;
    readonly earliestFinishWallMs: number;
    /** Length of the observation at share 1. */
    readonly observationMs: number;
    /** Planned stay at each share before that. */
    readonly stayMs: number;
    readonly settleMs: number;
}

/**
 * Decides the next step. Evidence moves the share up early; the plan moves it up late where little traffic gives little
 * evidence; nothing moves it up while the new version lacks endpoints or routes that count were not seen. A move that
 * can't be done by its time is taken back.
 *
 * @param move - The move as it stands in the configuration
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
        return buildStep(MoveStepKind.RollBack, 0, `Not done in time: ${describeLack(move, facts)}.`);
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
        ? buildStep(MoveStepKind.Begin, first, "The first share shows faults that appear at once.")
        : buildStep(MoveStepKind.Wait, 0, "No live endpoint serves the new version yet.");
}

function decideRaise(move: VersionMove, facts: MoveFacts, times: MoveTimes, stayedMs: number): MoveStep {
    const next = MOVE_SHARES.find(share => share > move.share) ?? 1;
    if (stayedMs < times.settleMs) {
        return buildStep(MoveStepKind.Wait, move.share, "The share was raised a moment ago.");
    }
    if (facts.supportableShare < next) {
        return buildStep(MoveStepKind.Wait, move.share, "The new version has too few endpoints for a larger share.");
    }
    if (hasEvidence(facts)) {
        return buildStep(MoveStepKind.Raise, next, `${facts.attemptsSinceStep} attempts without a fault.`);
    }
    if (stayedMs >= times.stayMs && hasLeastEvidence(facts)) {
        return buildStep(MoveStepKind.Raise, next, `Planned time reached; ${describeLack(move, facts)}.`);
    }
    return buildStep(MoveStepKind.Wait, move.share, `Waiting: ${describeLack(move, facts)}.`);
}

function decideFinish(move: VersionMove, facts: MoveFacts, times: MoveTimes, stayedMs: number): MoveStep {
    const isLastMoment = facts.nowWallMs >= times.lastFinishWallMs;
    const isWatchedEnough = stayedMs >= times.observationMs && facts.nowWallMs >= times.earliestFinishWallMs;
    if (facts.supportableShare < 1) {
        return buildStep(MoveStepKind.Wait, 1, "The new version has too few endpoints to carry everything.");
    }
    if (isWatchedEnough && (hasEvidence(facts) || (isLastMoment && hasLeastEvidence(facts)))) {
        return buildStep(MoveStepKind.Finish, 1, `${facts.attemptsSinceStep} attempts at full share without a fault.`);
    }
    return buildStep(MoveStepKind.Wait, 1, "Observing the new version at full share.");
}

function planTimes(move: VersionMove, startedWallMs: number): MoveTimes {
    // One period before the last moment, so that a holder that looks once a second still finishes in time.
    const lastFinishWallMs = move.doneByWallMs - FINISH_MARGIN_MS - 2_000;
    const wholeMs = Math.max(0, lastFinishWallMs - startedWallMs);
    const observationMs = Math.min(MAXIMUM_OBSERVATION_MS, wholeMs * OBSERVATION_FRACTION);
    const stayMs = (wholeMs - observationMs) / MOVE_SHARES.length;
    const earliestFinishWallMs = startedWallMs + wholeMs * EARLIEST_FINISH_FRACTION;
    return {
        lastFinishWallMs,
        earliestFinishWallMs,
        observationMs,
        stayMs,
        settleMs: Math.min(MINIMUM_STAY_MS, stayMs),
    };
}

function hasEvidence(facts: MoveFacts): boolean {
    return facts.attemptsSinceStep >= OBSERVATIONS_FOR_EARLY_STEP && facts.unseenRoutes.length === 0;
}

// Where the service had next to no traffic at all, little evidence is all there can be.
function hasLeastEvidence(facts: MoveFacts): boolean {
    const isQuiet = facts.oldAttemptsSinceStep + facts.attemptsSinceStep < MINIMUM_OBSERVATIONS;
    return isQuiet || facts.attemptsSinceStep >= MINIMUM_OBSERVATIONS;
}

function describeLack(move: VersionMove, facts: MoveFacts): string {
    if (facts.supportableShare < 1 && facts.supportableShare <= move.share) {
        return "the new version has too few endpoints";
    }
    const routes = facts.unseenRoutes.length > 0 ? `, routes hardly seen: ${facts.unseenRoutes.join(", ")}` : "";
    return `${facts.attemptsSinceStep} attempts on the new version at share ${move.share}${routes}`;
}

function buildStep(kind: MoveStepKind, share: number, reason: string): MoveStep {
    return { kind, share, reason };
}
