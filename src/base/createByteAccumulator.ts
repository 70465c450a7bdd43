/**
 * @module Collects bytes that arrive in pieces of any size.
 */

const CAPACITY_MIN_BYTES = 1_024;
const GROWTH_FACTOR = 2;

/** How much is collected. */
export interface ByteAccumulatorOptions {
    /** Most bytes that are held; default: no limit. */
    readonly bytesMax?: number;
    /** Number of bytes if it is known beforehand; so many are reserved with the first piece. */
    readonly bytesExpected?: number;
}

/**
 * Collects bytes. Its memory is proportional to the bytes held, and its work to the bytes added, whatever the size of
 * the pieces.
 */
export interface ByteAccumulator {
    /** Adds a copy of a piece. If that is more than may be held, gives false now and later, and holds nothing. */
    append(piece: Buffer): boolean;
    countBytes(): number;
    /** Gives the bytes held; they may change with the next call. */
    readBytes(): Buffer;
    /** Removes and gives the first bytes held; default: all of them. */
    takeBytes(count?: number): Buffer;
}

/**
 * Creates an accumulator, with nothing in it.
 *
 * @param options - How much is collected; default: as much as is added
 * @returns The accumulator
 * @example
 * response.on("data", piece => body.append(piece) || response.destroy());
 */
export function createByteAccumulator(options: ByteAccumulatorOptions = {}): ByteAccumulator {
    const { bytesMax = Number.POSITIVE_INFINITY, bytesExpected = 0 } = options;
    let storage = Buffer.alloc(0);
    let length = 0;
    let isOverfull = false;
    const reserve = (needed: number) => {
        const grown = Math.max(needed, bytesExpected, storage.length * GROWTH_FACTOR, CAPACITY_MIN_BYTES);
        const larger = Buffer.allocUnsafeSlow(Math.min(grown, bytesMax));
        storage.copy(larger, 0, 0, length);
        storage = larger;
    };
    const append = (piece: Buffer): boolean => {
        const needed = length + piece.length;
        if (isOverfull || needed > bytesMax) {
            isOverfull = true;
            storage = Buffer.alloc(0);
            length = 0;
            return false;
        }
        if (needed > storage.length) {
            reserve(needed);
        }
        piece.copy(storage, length);
        length = needed;
        return true;
    };
    return {
        append,
        countBytes: () => length,
        readBytes: () => storage.subarray(0, length),
        takeBytes: (count = length) => {
            const taken = storage.subarray(0, count);
            const rest = storage.subarray(count, length);
            storage = Buffer.alloc(0);
            length = 0;
            append(rest);
            return taken;
        },
    };
}
