/**
 * @module Computes the share of requests that a node currently gives to the new version of a move.
 */
import { MoveState, type VersionMove } from "../../model/configuration";

/**
 * Computes the share of requests that this node sends to the new version. A move that is not done by its deadline
 * counts as rolled back (`TakenBack`). Every node decides this on its own, so it holds even if the store or the node
 * that leads the move is unavailable.
 *
 * @param move - The move as known to this node
 * @param nowWallMs - Epoch milliseconds
 * @param isBraked - Whether this node sends the new version nothing, because a node has raised an alarm about it
 * @returns A share between 0 and 1
 * @example
 * computeEffectiveShare(move, clock.readWallMs(), brakes.has(move.name));
 */
export function computeEffectiveShare(move: VersionMove, nowWallMs: number, isBraked: boolean): number {
    if (move.state === MoveState.Done) {
        return 1;
    }
    if (move.state === MoveState.TakenBack || isBraked || nowWallMs >= move.doneByWallMs) {
        return 0;
    }
    return move.share;
}
