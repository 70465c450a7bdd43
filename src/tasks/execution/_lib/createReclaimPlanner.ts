/**
 * @module Plans the moves of all streams of a wave together.
 */
import type { Clock } from "../../../base/clock";
import { planReclaimMoves } from "../../../decisions/outcomes/reclaim/planReclaimMoves";
import type { LeavingStream, PlannedMove, ReclaimTerms } from "../../../decisions/outcomes/reclaim/reclaimMove";
import { WAVE_COLLECTION_MS } from "../constants";

/** A stream that waits for its move. */
export interface LeavingEntry {
    readonly serviceName: string;
    /** Describes the stream as it is now; `undefined` once it has ended. */
    readonly describeStream: () => LeavingStream | undefined;
    readonly handleMove: (move: PlannedMove) => void;
}

/** Handle of the planner. */
export interface ReclaimPlanner {
    /** Adds a stream whose endpoint has received a notice. */
    addStream(entry: LeavingEntry): void;
}

/**
 * Creates the planner of this node.
 *
 * @param options - `readTerms`: speeds and prices of a service's runners
 * @returns The planner
 * @example
 * planner.addStream({ serviceName, describeStream, handleMove });
 */
export function createReclaimPlanner(options: {
    readonly clock: Clock;
    readonly readTerms: (serviceName: string) => ReclaimTerms;
}): ReclaimPlanner {
    const waiting = new Map<string, LeavingEntry[]>();
    const planService = (serviceName: string) => {
        const entries = waiting.get(serviceName) ?? [];
        waiting.delete(serviceName);
        const described = entries.map(entry => ({ entry, stream: entry.describeStream() }));
        const streams = described.flatMap(({ stream }) => (stream === undefined ? [] : [stream]));
        const moves = planReclaimMoves(streams, options.readTerms(serviceName), options.clock.readMonotonicMs());
        const byRequest = new Map(moves.map(move => [move.requestId, move]));
        for (const { entry, stream } of described) {
            const move = stream === undefined ? undefined : byRequest.get(stream.requestId);
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
            void options.clock.waitMs(WAVE_COLLECTION_MS).then(() => planService(entry.serviceName));
        },
    };
}
