/**
 * @module Bounds the bytes that connections hold together.
 */
import { createOrderedSet } from "../base/createOrderedSet";

/** The bytes held by connections. */
export interface HeldBytes<Holder> {
    /** Sets the bytes of a holder; 0 if it holds none any more. */
    setBytes(holder: Holder, bytes: number): void;
    /** Counts the bytes held by all. */
    countBytes(): number;
}

/**
 * Creates the record, without holders. Beyond the limit those that have held bytes for longest are closed; a single holder
 * never is, whatever it holds.
 *
 * @param bytesMax - Bytes that all may hold
 * @param closeHolder - Closes a holder; its bytes are no longer counted
 * @returns The record
 * @example
 * const readAhead = createHeldBytes<Socket>(memoryBytesMax / 16, socket => socket.destroy());
 */
export function createHeldBytes<Holder extends object>(
    bytesMax: number,
    closeHolder: (holder: Holder) => void,
): HeldBytes<Holder> {
    const holders = createOrderedSet<Holder>();
    const bytesByHolder = new Map<Holder, number>();
    let total = 0;
    const setBytes = (holder: Holder, bytes: number) => {
        total += bytes - (bytesByHolder.get(holder) ?? 0);
        if (bytes === 0) {
            bytesByHolder.delete(holder);
            holders.remove(holder);
            return;
        }
        if (!bytesByHolder.has(holder)) {
            holders.add(holder);
        }
        bytesByHolder.set(holder, bytes);
        while (total > bytesMax && holders.count() > 1) {
            const longest = holders.getFirst();
            if (longest === undefined) {
                return;
            }
            setBytes(longest, 0);
            closeHolder(longest);
        }
    };
    return { setBytes, countBytes: () => total };
}
