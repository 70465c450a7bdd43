import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { findHeadEnd } from "./findHeadEnd";

describe("the end of a head", () => {
    for (const [text, expected] of [
        ["GET / HTTP/1.1\r\n\r\nGET", 18],
        ["GET / HTTP/1.1\n\nGET", 16],
        ["GET / HTTP/1.1\r\nHost: a\n\r\nGET", 26],
        ["GET / HTTP/1.1\r\nHost: a\r\n", 25],
        ["\n", 1],
        ["\n\r", 2],
        ["", 0],
    ] as const) {
        it(`is after the first empty line: ${JSON.stringify(text)}`, () => {
            assert.equal(findHeadEnd(Buffer.from(text)), expected);
        });
    }

    // Guards against: a chunk with many empty lines is searched to its end for each of its pieces, and holds the event loop.
    it("is found without a look at the bytes after it", () => {
        const size = 65_536;
        let bytesRead = 0;
        for (let rest = Buffer.from("\n".repeat(size)); rest.length > 0;) {
            const piece = findHeadEnd({
                length: rest.length,
                at: index => {
                    bytesRead++;
                    return rest.at(index);
                },
                indexOf: (value: number, from?: number) => {
                    const found = rest.indexOf(value, from);
                    bytesRead += (found < 0 ? rest.length : found + 1) - (from ?? 0);
                    return found;
                },
            });
            rest = rest.subarray(piece);
        }
        assert.ok(bytesRead <= 4 * size, `${bytesRead} bytes read`);
    });
});
