/**
 * @module The words of a command line that runs a node.
 */

/**
 * Formats the settings of a node as words of a command line.
 *
 * @param flags - The texts of the settings by name
 * @returns The words, the command's name first
 * @example
 * formatServeWords({ drainMs: "100" }); // ["serve", "--drain-ms", "100"]
 */
export function formatServeWords(flags: Readonly<Record<string, string>>): readonly string[] {
    const toFlag = (name: string) => `--${name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
    return ["serve", ...Object.entries(flags).flatMap(([name, value]) => [toFlag(name), value])];
}
