/**
 * @module Plans the moves of all streams affected by the same reclaim together.
 */
import type { Clock } from "../../../base/clock";
import { planReclaimMoves } from "../../../decisions/outcomes/reclaim/planReclaimMoves";
import type { LeavingStream, PlannedMove, ReclaimTerms } from "../../../decisions/outcomes/reclaim/reclaimMove";
import { RECLAIM_BATCH_WINDOW_MS } from "../constants";

/** A stream whose endpoint is leaving, waiting for its move to be planned. */
export interface ReclaimPlannerEntry {
    readonly serviceName: string;
    /** Returns the current state of the stream; `undefined` once it has ended. */
    readonly describeStream: () => LeavingStream | undefined;
    readonly handleMove: (move: PlannedMove) => void;
}

/** Plans moves away from leaving endpoints. */
export interface ReclaimPlanner {
    /** Adds a stream whose endpoint has received a notice; its move is planned after `RECLAIM_BATCH_WINDOW_MS`. */
    addStream(entry: ReclaimPlannerEntry): void;
}

/**
 * Creates the node's planner of moves.
 *
 * @param options - `readTerms` returns speeds and prices of a service's runners
 * @returns The planner
 * @example
 * planner.addStream({ serviceName, describeStream, handleMove });
 */
export function createReclaimPlanner(options: {
    readonly clock: Clock;
    readonly readTerms: (serviceName: string) => ReclaimTerms;
}): ReclaimPlanner {
    const waiting = new Map<string, ReclaimPlannerEntry[]>();
    const planService = (serviceName: string) => {
        const entries = waiting.get(serviceName) ?? [];
        waiting.delete(serviceName);
        const described = entries.map(entry => ({ entry, stream: entry.describeStream() }));
        const streams = described.flatMap(({ stream }) => (stream === undefined ? [] : [stream]));
        const moves = planReclaimMoves(streams, options.readTerms(serviceName), options.clock.readMonotonicMs());
        const moveByRequest = new Map(moves.map(move => [move.requestId, move]));
        for (const { entry, stream } of described) {
            const move = stream === undefined ? undefined : moveByRequest.get(stream.requestId);
            if (move !== undefined) {
                entry.handleMove(move);
            }
        }
    };
    return {
        addStream: entry => {
            const entries = waiting.get(entry.serviceName);
            if (entries !== undefined) {
                entries.push(entry);
                return;
            }
            waiting.set(entry.serviceName, [entry]);
            void options.clock.waitMs(RECLAIM_BATCH_WINDOW_MS).then(() => planService(entry.serviceName));
        },
    };
}
