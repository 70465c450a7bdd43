/**
 * @module Taking in the result of a probe.
 */
import { hasRoomForRemoval, isRemoved, setRemoved } from "./_lib/removal";
import type { Candidate } from "./candidate";

/**
 * Records whether an endpoint answered on a new connection. A removed endpoint that answers goes on trial; one that
 * doesn't stays removed for longer. An endpoint in use that answers keeps its place, since failures on connections that
 * went silent are not its own; one that doesn't answer is removed at once.
 *
 * @param candidate - The endpoint; changed in place
 * @param isAlive - Whether it answered
 * @param peers - All endpoints of the service, this one included
 * @param nowMs - Now, in monotonic milliseconds
 * @example
 * recordProbe(candidate, result.isOk(), service.candidates, nowMs);
 */
export function recordProbe(candidate: Candidate, isAlive: boolean, peers: readonly Candidate[], nowMs: number): void {
    const { outcomes } = candidate;
    if (!isAlive) {
        if (isRemoved(outcomes) || hasRoomForRemoval(peers, peer => peer.outcomes)) {
            setRemoved(outcomes, nowMs);
        }
    } else if (isRemoved(outcomes)) {
        outcomes.isOnTrial = true;
    } else {
        outcomes.failuresInRow = 0;
    }
}
