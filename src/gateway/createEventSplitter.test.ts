import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { measureWork } from "../base/_testing/measureWork";
import { createEventSplitter } from "./createEventSplitter";

const UNFINISHED_BYTES = 20_000;
/** Work for each byte received: it is scanned once, and copied as the storage doubles. */
const WORK_PER_BYTE_MAX = 4;

/** Cuts bytes into pieces of one size. */
function listPieces(bytes: Buffer, pieceBytes: number): readonly Buffer[] {
    return Array.from({ length: Math.ceil(bytes.length / pieceBytes) }, (_, index) =>
        bytes.subarray(index * pieceBytes, (index + 1) * pieceBytes),
    );
}

describe("splitting a stream into events", () => {
    // Guards against a stream without an empty line whose cost is the square of its size, which stops the whole process.
    for (const pieceBytes of [1, 16, 50, 1_000]) {
        it(`an event without an end in pieces of ${pieceBytes} bytes costs work linear in its bytes`, async () => {
            const pieces = listPieces(Buffer.alloc(UNFINISHED_BYTES, "x"), pieceBytes);
            const splitter = createEventSplitter();
            const work = await measureWork("/createEventSplitter.", () =>
                pieces.forEach(piece => assert.equal(splitter.push(piece), undefined)),
            );
            assert.ok(work.steps > 0, "the modules were not found");
            assert.ok(work.steps <= WORK_PER_BYTE_MAX * UNFINISHED_BYTES, `${work.steps} steps`);
            assert.ok(work.copiedBytes <= WORK_PER_BYTE_MAX * UNFINISHED_BYTES, `${work.copiedBytes} bytes copied`);
        });
    }

    it("keeps the bytes of a batch unchanged while more are received", () => {
        const splitter = createEventSplitter();
        assert.equal(splitter.push(Buffer.from("data: 1")), undefined);
        const batch = splitter.push(Buffer.from("\n\ndata: 2"));
        splitter.push(Buffer.from("22222222222222\n\n"));
        assert.equal(batch?.bytes.toString(), "data: 1\n\n");
    });

    it("is overfull once the bytes after the last event are more than an event may have", () => {
        const splitter = createEventSplitter();
        const piece = Buffer.alloc(65_536, "x");
        for (let count = 0; count < 16; count++) {
            splitter.push(piece);
            assert.equal(splitter.isOverfull(), false);
        }
        splitter.push(Buffer.from("x"));
        assert.equal(splitter.isOverfull(), true);
    });
});
