/**
 * @module Creates empty evidence of version moves.
 */
import type { VersionMove } from "../../model/configuration";
import type { MoveEvidence } from "./versionEvidence";

/**
 * Creates empty evidence for a move.
 *
 * @param move - The move
 * @returns Evidence without any observations
 * @example
 * const evidence = createMoveEvidence(move);
 */
export function createMoveEvidence(move: Pick<VersionMove, "name" | "fromVersion" | "toVersion">): MoveEvidence {
    return {
        moveName: move.name,
        oldVersion: move.fromVersion,
        newVersion: move.toVersion,
        cells: new Map(),
        peerCounts: new Map(),
        pooledScores: new Map(),
        pooledCounts: new Map(),
    };
}
