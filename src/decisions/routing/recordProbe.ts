/**
 * @module Recording the results of probes.
 */
import { isRemovalAllowed, isRemoved, setRemoved } from "./_lib/removal";
import type { Candidate } from "./candidate";

/**
 * Records whether an endpoint answered a probe on a new connection. A removed endpoint that answers goes on trial; one
 * that doesn't answer stays removed for longer. An endpoint in use that answers stays in use and its consecutive
 * failures are cleared, since failures on connections that fell silent are not failures of the endpoint; one that
 * doesn't answer is removed at once, if one more removal is allowed.
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
        if (isRemoved(outcomes) || isRemovalAllowed(peers, peer => peer.outcomes)) {
            setRemoved(outcomes, nowMs);
        }
    } else if (isRemoved(outcomes)) {
        outcomes.isOnTrial = true;
    } else {
        outcomes.consecutiveFailures = 0;
    }
}
