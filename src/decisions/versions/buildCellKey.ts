/**
 * @module Builds the keys of evidence cells.
 */
import type { CellCounts } from "./versionEvidence";

/**
 * Builds the key of an evidence cell.
 *
 * @param cell - The cell's route and load level
 * @returns The key
 * @example
 * buildCellKey({ route: "chat", loadLevel: LoadLevel.Low }); //=> "low chat"
 */
export function buildCellKey(cell: Pick<CellCounts, "route" | "loadLevel">): string {
    return `${cell.loadLevel} ${cell.route}`;
}
