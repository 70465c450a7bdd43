/**
 * @module The file of measured figures.
 */
import fs from "node:fs";
import type { Figures } from "./figures";

/** Committed, so that the page can be checked against it. */
export const FIGURES_FILE = "bench/capacity/figures.json";

/**
 * Reads the figures measured so far.
 *
 * @returns Figures by name; none if there is no file yet
 * @example
 * readFigures()["membershipHeap"]?.value;
 */
export function readFigures(): Figures {
    return fs.existsSync(FIGURES_FILE) ? (JSON.parse(fs.readFileSync(FIGURES_FILE, "utf8")) as Figures) : {};
}

/**
 * Writes the figures, in the order of their names.
 *
 * @param figures - All figures
 * @example
 * writeFigures({ ...readFigures(), ...measured });
 */
export function writeFigures(figures: Figures): void {
    const entries = Object.entries(figures).sort(([left], [right]) => (left < right ? -1 : 1));
    fs.writeFileSync(FIGURES_FILE, `${JSON.stringify(Object.fromEntries(entries), undefined, 4)}\n`);
}
