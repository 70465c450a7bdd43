/**
 * @module Texts from outside that are shown on a terminal.
 */

/**
 * Keeps a text from moving the cursor or starting a line.
 *
 * @param text - Any text
 * @returns The text with a space for each control character
 * @example
 * removeControls("a\nb"); //=> "a b"
 */
export function removeControls(text: string): string {
    // eslint-disable-next-line no-control-regex -- control characters are what is removed
    return text.replace(/[\u0000-\u001f\u007f-\u009f]/g, " ");
}
