/**
 * @module Commands of several words.
 *
 * The parser knows commands of one word only, so the words of a command's name are joined before parsing.
 */
import type { CommandDefinition } from "../commandDefinition";

const MOST_WORDS = 3;

/** The command line with the command's name as one word, or the group whose command is missing. */
export interface JoinedWords {
    readonly words: readonly string[];
    readonly group?: string;
}

/**
 * Joins the words of the command's name.
 *
 * @param words - The words of the command line
 * @param commands - Every command
 * @returns The words; `group` is set if they name a group such as `class` without a command of it
 * @example
 * joinCommandWords(["class", "list", "--json"], COMMANDS); //=> { words: ["class list", "--json"] }
 */
export function joinCommandWords(words: readonly string[], commands: readonly CommandDefinition[]): JoinedWords {
    const names = new Set(commands.map(command => command.name));
    for (let count = MOST_WORDS; count >= 1; count--) {
        const at = words.findIndex((_word, index) => names.has(words.slice(index, index + count).join(" ")));
        if (at >= 0 && isCommandPlace(words, at)) {
            return {
                words: [words.slice(at, at + count).join(" "), ...words.slice(0, at), ...words.slice(at + count)],
            };
        }
    }
    const group = findGroup(words, names);
    return group === undefined ? { words } : { words, group };
}

/** Only options may stand before the command. */
function isCommandPlace(words: readonly string[], at: number): boolean {
    return words.slice(0, at).every((word, index) => word.startsWith("-") || words[index - 1] === "--operator");
}

function findGroup(words: readonly string[], names: ReadonlySet<string>): string | undefined {
    const plain = words.filter(word => !word.startsWith("-"));
    const candidates = [plain.slice(0, 2).join(" "), plain[0] ?? ""];
    return candidates.find(candidate => candidate !== "" && [...names].some(name => name.startsWith(`${candidate} `)));
}
