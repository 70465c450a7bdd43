import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { measureWork } from "./_testing/measureWork";
import { createByteAccumulator } from "./createByteAccumulator";

const BYTES = 50_000;
/** Storage doubles, and the copies of all doublings together are less than twice the bytes. */
const FACTOR_MAX = 4;

describe("collecting bytes", () => {
    // Guards against memory by pieces instead of bytes, and work by the square of the bytes.
    for (const pieceBytes of [1, 7, 1_000, BYTES]) {
        it(`costs memory and work linear in the bytes, in pieces of ${pieceBytes}`, async () => {
            const bytes = createByteAccumulator();
            const piece = Buffer.alloc(pieceBytes, "a");
            const work = await measureWork("/createByteAccumulator.", () => {
                for (let count = 0; count < BYTES / pieceBytes; count++) {
                    bytes.append(piece);
                }
            });
            assert.ok(bytes.countBytes() >= BYTES);
            assert.ok(work.copiedBytes <= FACTOR_MAX * bytes.countBytes(), `${work.copiedBytes} bytes copied`);
            assert.ok(work.steps <= 2 * Math.ceil(BYTES / pieceBytes) + 10, `${work.steps} steps`);
            assert.ok(bytes.readBytes().buffer.byteLength <= FACTOR_MAX * bytes.countBytes());
        });
    }

    it("gives what was added, in order, however it is taken", () => {
        const step = fc.oneof(fc.string({ maxLength: 3_000 }), fc.nat({ max: 5_000 }));
        fc.assert(
            fc.property(fc.array(step, { maxLength: 30 }), fc.nat({ max: 4_000 }), (steps, bytesExpected) => {
                const bytes = createByteAccumulator({ bytesExpected });
                let model = Buffer.alloc(0);
                for (const next of steps) {
                    if (typeof next === "string") {
                        assert.equal(bytes.append(Buffer.from(next)), true);
                        model = Buffer.concat([model, Buffer.from(next)]);
                    } else {
                        const count = Math.min(next, model.length);
                        assert.deepEqual(bytes.takeBytes(count), model.subarray(0, count));
                        model = model.subarray(count);
                    }
                    assert.deepEqual(bytes.readBytes(), model);
                }
            }),
        );
    });

    it("holds nothing once there was too much, and takes nothing more", () => {
        const bytes = createByteAccumulator({ bytesMax: 10 });
        assert.equal(bytes.append(Buffer.alloc(10)), true);
        assert.equal(bytes.append(Buffer.alloc(1)), false);
        assert.equal(bytes.append(Buffer.alloc(1)), false);
        assert.equal(bytes.takeBytes().length, 0);
    });

    it("reserves no more than may be held, whatever is expected", () => {
        const bytes = createByteAccumulator({ bytesMax: 100, bytesExpected: 9_000_000_000 });
        bytes.append(Buffer.from("a"));
        assert.equal(bytes.readBytes().buffer.byteLength, 100);
    });
});
