import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { measureWork } from "../../base/_testing/measureWork";
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

    // Guards against a whole stream that counts as cut off since one of its empty lines arrived alone.
    it("gives the same events whatever the size of the pieces", () => {
        const lines = fc.constantFrom("id: 7\n", "data: a b\n", "data\r\n", ": comment\n", "\n", "\r\n", "x");
        fc.assert(
            fc.property(fc.array(lines, { maxLength: 40 }), fc.integer({ min: 1, max: 30 }), (texts, pieceBytes) => {
                const bytes = Buffer.from(texts.join(""));
                const splitter = createEventSplitter();
                const batches = listPieces(bytes, pieceBytes).flatMap(piece => splitter.push(piece) ?? []);
                const whole = createEventSplitter();
                const atOnce = whole.push(bytes);
                assert.equal(
                    Buffer.concat(batches.map(batch => batch.bytes)).toString(),
                    (atOnce?.bytes ?? Buffer.alloc(0)).toString(),
                );
                assert.equal(splitter.takeRemainder().toString(), whole.takeRemainder().toString());
                const ids = batches.flatMap(batch => batch.lastEventId ?? []);
                assert.equal(ids.at(-1), atOnce?.lastEventId);
                assert.equal(
                    batches.some(batch => batch.hasEvent),
                    atOnce?.hasEvent ?? false,
                );
            }),
        );
    });

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
