/**
 * @module Lists the counts of this node.
 */
import type { CellCounts, MoveEvidence } from "./versionEvidence";

/**
 * Lists this node's counts, to be sent to other nodes.
 *
 * @param evidence - The evidence of a move
 * @returns Counts, one entry per cell
 * @example
 * exchange.publishUpdate(ExchangeTopic.VersionEvidence, name, encodeEvidenceCounts(listOwnCounts(evidence)));
 */
export function listOwnCounts(evidence: MoveEvidence): readonly CellCounts[] {
    return [...evidence.cells.values()].map(cell => cell.counts);
}
