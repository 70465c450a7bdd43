/**
 * @module Creates empty evidence of version moves.
 */
import type { VersionMove } from "../../model/configuration";
import { REFERENCE_PERCENTILE, SLOW_FIRST_TOKEN_FACTOR } from "./constants";
import type { MoveEvidence, SlowRule } from "./versionEvidence";

/**
 * Creates empty evidence for a move.
 *
 * @param move - The move
 * @param firstTokenRule - When a first token is slow; default: that of version moves
 * @returns Evidence without any observations
 * @example
 * const evidence = createMoveEvidence(move);
 */
export function createMoveEvidence(
    move: Pick<VersionMove, "name" | "fromVersion" | "toVersion">,
    firstTokenRule: SlowRule = { percentile: REFERENCE_PERCENTILE, factor: SLOW_FIRST_TOKEN_FACTOR },
): MoveEvidence {
    return {
        moveName: move.name,
        oldVersion: move.fromVersion,
        newVersion: move.toVersion,
        firstTokenRule,
        cells: new Map(),
        peerCounts: new Map(),
        pooledScores: new Map(),
        pooledCounts: new Map(),
    };
}
