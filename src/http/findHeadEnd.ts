/**
 * @module Finds the end of a request's head.
 */

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** What is needed of a buffer. */
export interface SearchedBytes {
    readonly length: number;
    at(index: number): number | undefined;
    indexOf(value: number, from?: number): number;
}

/**
 * Finds how many bytes there are up to the end of the first head: its empty line, with or without a carriage return, as
 * Node's parser may accept both. It looks no further than that, so that a chunk taken apart by it is read once.
 *
 * @param bytes - Received bytes
 * @returns The number of bytes up to the end of the empty line; all of them if there is none
 * @example
 * findHeadEnd(Buffer.from("GET / HTTP/1.1\\r\\n\\r\\nGET")); //=> 18
 */
export function findHeadEnd(bytes: SearchedBytes): number {
    for (let index = bytes.indexOf(LINE_FEED); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
        const next = bytes.at(index + 1);
        if (next === LINE_FEED) {
            return index + 2;
        }
        if (next === CARRIAGE_RETURN && bytes.at(index + 2) === LINE_FEED) {
            return index + 3;
        }
    }
    return bytes.length;
}
