/**
 * @module Version moves of good and bad versions, by the simulation of one move.
 */
import { MoveState } from "../../src/model/configuration";
import { simulateMove, VersionFault } from "../versions/simulateMove";
import type { Deployment } from "./deployments";

/** Time that a move is given. */
export const MOVE_WINDOW_MS = 900_000;

const EXCHANGE_MS = 300;
const IN_FORCE_MS = 1_500;
const SEED_STEP = 7_919;

/** What came of the moves of versions with one fault. */
export interface MoveFigures {
    readonly fault: VersionFault;
    readonly runs: number;
    readonly done: number;
    readonly takenBack: number;
    readonly medianEndedAfterMs: number;
    /** Requests that met the fault over all requests of the window; the worst run. */
    readonly worstExposedShare: number;
    /** From the first alarm of any node to the last request that met the fault; the worst run. */
    readonly worstAfterAlarmMs: number;
}

/**
 * Moves versions of every kind of fault, and without one.
 *
 * @param deployment - Nodes and traffic
 * @param seed - Seed of the first run
 * @param runs - Runs for each fault
 * @returns Figures by fault
 * @example
 * measureMoves(DEPLOYMENTS[0], 1, 5);
 */
export function measureMoves(deployment: Deployment, seed: number, runs: number): readonly MoveFigures[] {
    return Object.values(VersionFault).map(fault => measureFault(deployment, fault, seed, runs));
}

function measureFault(deployment: Deployment, fault: VersionFault, seed: number, runs: number): MoveFigures {
    const requestsPerSecond = deployment.moveRequestsPerSecond;
    const results = Array.from({ length: runs }, (_unused, index) =>
        simulateMove({
            seed: seed + index * SEED_STEP,
            fault,
            nodes: deployment.size.nodes,
            requestsPerSecond,
            windowMs: MOVE_WINDOW_MS,
            exchangeMs: EXCHANGE_MS,
            inForceMs: IN_FORCE_MS,
        }),
    );
    const durations = results.map(result => result.endedAfterMs).sort((left, right) => left - right);
    const windowRequests = (requestsPerSecond * MOVE_WINDOW_MS) / 1_000;
    return {
        fault,
        runs,
        done: results.filter(({ state }) => state === MoveState.Done).length,
        takenBack: results.filter(({ state }) => state === MoveState.TakenBack).length,
        medianEndedAfterMs: durations[Math.floor(durations.length / 2)] ?? 0,
        worstExposedShare: Math.max(...results.map(({ exposed }) => exposed / windowRequests)),
        worstAfterAlarmMs: Math.max(...results.map(({ exposedAfterAlarmMs }) => exposedAfterAlarmMs)),
    };
}
