/**
 * @module The connections without an open request, and which of them is closed first to make room for others.
 */
import type { Clock } from "../base/clock";
import { createOrderedSet, type OrderedSet } from "../base/createOrderedSet";

/** A connection with a younger last event may have a request on the way. */
export const QUIET_MS = 200;

/** What decides about a connection. */
export interface IdleCandidate {
    /** Address of the other side. */
    readonly address: string;
    /** Counts the received bytes that belong to no request yet. */
    countUnfinishedBytes(): number;
}

/** A connection that may be closed. */
export interface ChosenConnection<Candidate> {
    readonly candidate: Candidate;
    /** True if it has sent a part of a request's head. */
    readonly isUnfinished: boolean;
}

/** The connections without an open request. */
export interface IdleConnections<Candidate extends IdleCandidate> {
    /** Records that a connection has no open request from now on. */
    addIdle(candidate: Candidate): void;
    /** Records that a connection has an open request, or is closed. */
    removeIdle(candidate: Candidate): void;
    /**
     * Chooses the connection that is closed for a new one: the longest idle first, and after all of these the one that has
     * waited longest within a head. If the address of the new one holds more than the mean of all addresses, one of its own
     * goes before those of others. Gives `undefined` if none has been quiet for long enough.
     */
    chooseLongestIdle(newcomerAddress: string, quietMs: number): ChosenConnection<Candidate> | undefined;
}

/** The state of a connection within a head when it was last looked at. */
interface UnfinishedState {
    readonly bytes: number;
    readonly sinceMs: number;
}

/**
 * Creates the record, with no connections. Its work is constant for each new connection and each received piece, whatever
 * the number of connections.
 *
 * @param clock - Measures idle time
 * @returns The record
 * @example
 * const chosen = idleConnections.chooseLongestIdle(socket.remoteAddress, QUIET_MS);
 */
export function createIdleConnections<Candidate extends IdleCandidate>(clock: Clock): IdleConnections<Candidate> {
    const idle = createOrderedSet<Candidate>();
    const idleByAddress = new Map<string, OrderedSet<Candidate>>();
    const idleSinceMs = new Map<Candidate, number>();
    const unfinished = createOrderedSet<Candidate>();
    const unfinishedStates = new Map<Candidate, UnfinishedState>();

    const addIdle = (candidate: Candidate) => {
        const ofAddress = idleByAddress.get(candidate.address) ?? createOrderedSet<Candidate>();
        idleByAddress.set(candidate.address, ofAddress);
        ofAddress.add(candidate);
        idle.add(candidate);
        idleSinceMs.set(candidate, clock.readMonotonicMs());
    };
    const removeIdle = (candidate: Candidate) => {
        idle.remove(candidate);
        idleSinceMs.delete(candidate);
        const ofAddress = idleByAddress.get(candidate.address);
        if (ofAddress?.remove(candidate) === true && ofAddress.count() === 0) {
            idleByAddress.delete(candidate.address);
        }
        unfinished.remove(candidate);
        unfinishedStates.delete(candidate);
    };
    const recordUnfinished = (candidate: Candidate, bytes: number) => {
        removeIdle(candidate);
        unfinished.add(candidate);
        unfinishedStates.set(candidate, { bytes, sinceMs: clock.readMonotonicMs() });
    };
    const isQuiet = (sinceMs: number | undefined, quietMs: number) =>
        sinceMs !== undefined && clock.readMonotonicMs() - sinceMs >= quietMs;

    /** Finds the first that is still without a byte of a request; those with some are recorded as unfinished. */
    const findIdle = (candidates: OrderedSet<Candidate>, quietMs: number): Candidate | undefined => {
        for (let candidate = candidates.getFirst(); candidate !== undefined; candidate = candidates.getFirst()) {
            const bytes = candidate.countUnfinishedBytes();
            if (bytes === 0) {
                return isQuiet(idleSinceMs.get(candidate), quietMs) ? candidate : undefined;
            }
            recordUnfinished(candidate, bytes);
        }
        return undefined;
    };
    /** Finds the first that has sent nothing since it was last looked at; those that have are put last. */
    const findUnfinished = (quietMs: number): Candidate | undefined => {
        for (let left = unfinished.count(); left > 0; left--) {
            const candidate = unfinished.getFirst();
            const state = candidate === undefined ? undefined : unfinishedStates.get(candidate);
            if (candidate === undefined || state === undefined) {
                return undefined;
            }
            const bytes = candidate.countUnfinishedBytes();
            if (bytes === state.bytes) {
                return isQuiet(state.sinceMs, quietMs) ? candidate : undefined;
            }
            recordUnfinished(candidate, bytes);
        }
        return undefined;
    };
    return {
        addIdle,
        removeIdle,
        chooseLongestIdle: (newcomerAddress, quietMs) => {
            const own = idleByAddress.get(newcomerAddress);
            const isOverMean = own !== undefined && own.count() * idleByAddress.size > idle.count();
            const longestOwn = isOverMean ? findIdle(own, quietMs) : undefined;
            const longestIdle = longestOwn ?? findIdle(idle, quietMs);
            if (longestIdle !== undefined) {
                return { candidate: longestIdle, isUnfinished: false };
            }
            const longestUnfinished = findUnfinished(quietMs);
            return longestUnfinished && { candidate: longestUnfinished, isUnfinished: true };
        },
    };
}
