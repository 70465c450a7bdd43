/**
 * @module Empty evidence.
 */
import type { VersionMove } from "../../model/configuration";
import type { MoveEvidence } from "./versionEvidence";

/**
 * Creates empty evidence for a move.
 *
 * @param move - The move
 * @returns The evidence
 * @example
 * const evidence = createMoveEvidence(move);
 */
export function createMoveEvidence(move: VersionMove): MoveEvidence {
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
