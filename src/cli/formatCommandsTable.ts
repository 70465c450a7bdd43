/**
 * @module The table of `docs/CLI.md`.
 */
import { COMMANDS } from "./commands";

/**
 * Formats all commands as a Markdown table.
 *
 * @returns The table's lines, its header included
 * @example
 * formatCommandsTable().join("\n");
 */
export function formatCommandsTable(): readonly string[] {
    const rows = COMMANDS.map(({ name, parameters, description }) => {
        const usage = [name, parameters].filter(part => part !== undefined).join(" ");
        return `| \`${usage.replaceAll("|", "\\|")}\` | ${description} |`;
    });
    return ["| command | what it does |", "|---|---|", ...rows];
}
