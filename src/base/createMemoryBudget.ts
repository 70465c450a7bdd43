/**
 * @module Bounds the memory that many holders of bytes take together.
 */

/** Holders of more bytes than this share the larger part of a budget, and all others the rest. */
const SMALL_BYTES_MAX = 65_536;
const LARGE_SHARE = 0.75;

/** The bytes of one holder. */
export interface MemoryLease {
    /**
     * Sets the number of bytes held. Gives false, and changes nothing, if there is no room for more; fewer are always
     * possible. Ends a wait of `growWhenFree`.
     */
    setBytes(bytes: number): boolean;
    /** Calls `handleRoom` once there is room for a greater number of bytes, which are held then. */
    growWhenFree(bytes: number, handleRoom: () => void): void;
    /** Gives all bytes back, and calls nothing any more. */
    release(): void;
}

/** A bound on bytes held. */
export interface MemoryBudget {
    openLease(): MemoryLease;
    /** Counts the bytes held by all. */
    countBytes(): number;
}

/** A part of the budget. */
interface Pool {
    readonly bytesMax: number;
    bytes: number;
}

/** A lease with its state. */
interface LeaseState {
    bytes: number;
    /** What it waits for. */
    waiting: { readonly bytes: number; readonly handleRoom: () => void } | undefined;
}

/**
 * Creates a budget of which nothing is held. Small and large holders have a part each, so that neither keeps the other
 * out. There is room in a part until its limit is reached, whatever the size of the next holder: the largest are not
 * passed over for smaller ones, and the limit is exceeded by one holder at most. One of those that wait is exempt from
 * the limit, the first, so that holders that all wait for each other come to an end.
 *
 * @param bytesMax - Bytes that all holders may take
 * @returns The budget
 * @example
 * const lease = budget.openLease();
 * if (!lease.setBytes(4_096)) { ... }
 */
export function createMemoryBudget(bytesMax: number): MemoryBudget {
    const large: Pool = { bytesMax: bytesMax * LARGE_SHARE, bytes: 0 };
    const small: Pool = { bytesMax: bytesMax * (1 - LARGE_SHARE), bytes: 0 };
    const waiting = new Set<LeaseState>();
    let exempt: LeaseState | undefined;

    const findPool = (bytes: number) => (bytes > SMALL_BYTES_MAX ? large : small);
    const moveTo = (lease: LeaseState, bytes: number) => {
        findPool(lease.bytes).bytes -= lease.bytes;
        findPool(bytes).bytes += bytes;
        lease.bytes = bytes;
    };
    const hasRoom = (lease: LeaseState, bytes: number) => {
        const pool = findPool(bytes);
        return bytes <= lease.bytes || lease === exempt || pool.bytes < pool.bytesMax;
    };
    const endWait = (lease: LeaseState) => {
        lease.waiting = undefined;
        waiting.delete(lease);
    };
    const admitWaiting = () => {
        for (const lease of waiting) {
            const wanted = lease.waiting;
            if (wanted === undefined) {
                continue;
            }
            exempt ??= lease;
            if (hasRoom(lease, wanted.bytes)) {
                endWait(lease);
                moveTo(lease, wanted.bytes);
                wanted.handleRoom();
            }
        }
    };
    const openLease = (): MemoryLease => {
        const lease: LeaseState = { bytes: 0, waiting: undefined };
        const setBytes = (bytes: number) => {
            endWait(lease);
            if (!hasRoom(lease, bytes)) {
                return false;
            }
            const isLess = bytes < lease.bytes;
            moveTo(lease, bytes);
            if (lease === exempt && bytes === 0) {
                exempt = undefined;
            }
            if (isLess) {
                admitWaiting();
            }
            return true;
        };
        return {
            setBytes,
            growWhenFree: (bytes, handleRoom) => {
                lease.waiting = { bytes, handleRoom };
                waiting.add(lease);
                admitWaiting();
            },
            release: () => void setBytes(0),
        };
    };
    return { openLease, countBytes: () => large.bytes + small.bytes };
}
