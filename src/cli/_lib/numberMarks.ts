/**
 * @module Keeps the parser from turning texts into numbers.
 *
 * The parser makes `1.10` the number 1.1 and `007` the number 7, which would change versions and names. Words that it
 * would take for numbers are marked before parsing, and the marks are removed after it.
 */

const MARK = "\u0001";

/**
 * Marks every word, and every value after `=`, that looks like a number.
 *
 * @param words - The words of the command line
 * @returns The words with marks
 * @example
 * removeMarks(addMarks(["--to", "1.10"])); //=> ["--to", "1.10"]
 */
export function addMarks(words: readonly string[]): readonly string[] {
    return words.map(word => {
        const at = word.indexOf("=");
        if (word.startsWith("-") && at > 0) {
            return `${word.slice(0, at + 1)}${addMark(word.slice(at + 1))}`;
        }
        return word.startsWith("-") ? word : addMark(word);
    });
}

/**
 * Removes the marks from whatever the parser gave.
 *
 * @param value - A text, a list of texts or anything else
 * @returns The same without marks
 * @example
 * removeMarks(options.to);
 */
export function removeMarks(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(removeMarks);
    }
    return typeof value === "string" && value.startsWith(MARK) ? value.slice(1) : value;
}

/**
 * Removes the marks from a message that quotes words.
 *
 * @param message - Any text
 * @returns The text without marks
 * @example
 * removeAllMarks(error.message);
 */
export function removeAllMarks(message: string): string {
    return message.replaceAll(MARK, "");
}

function addMark(word: string): string {
    return word !== "" && Number.isFinite(Number(word)) ? `${MARK}${word}` : word;
}
