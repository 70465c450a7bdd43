/**
 * @module Tables for people.
 */
import Table from "cli-table3";
import { removeControls } from "./removeControls";

const PLAIN = {
    top: "",
    "top-mid": "",
    "top-left": "",
    "top-right": "",
    bottom: "",
    "bottom-mid": "",
    "bottom-left": "",
    "bottom-right": "",
    left: "",
    "left-mid": "",
    mid: "",
    "mid-mid": "",
    right: "",
    "right-mid": "",
    middle: "  ",
};

/**
 * Formats rows as a table without lines.
 *
 * @param head - Names of the columns
 * @param rows - Cells; numbers are set to the right
 * @returns The table, without a newline at its end
 * @example
 * formatTable(["class", "target"], [["digest", 1200]]);
 */
export function formatTable(head: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
    const table = new Table({
        head: [...head],
        chars: PLAIN,
        style: { head: [], border: [], "padding-left": 0, "padding-right": 0 },
        colAligns: head.map((_name, column) => (typeof rows[0]?.[column] === "number" ? "right" : "left")),
    });
    table.push(...rows.map(row => row.map(cell => removeControls(String(cell)))));
    return table
        .toString()
        .split("\n")
        .map(line => line.trimEnd())
        .join("\n");
}
