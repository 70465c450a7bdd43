/**
 * @module Moving a node's configuration forward, revision by revision.
 */
import type { AcceptedChange, Configuration } from "../../model/configuration";
import { applyChange } from "./applyChange";

/** Most changes held while an earlier one is missing; the newest are dropped first and read again later. */
const PENDING_MAX = 256;

/** What a node has applied, and what it has received too early. */
export interface AppliedState {
    readonly current: Configuration;
    /** Changes beyond the next revision, by revision. */
    readonly pending: ReadonlyMap<number, AcceptedChange>;
}

/**
 * Takes in changes. Only the next revision is ever applied: older changes are ignored, later ones wait. The order in
 * which changes arrive, and repeats of them, make no difference to the result.
 *
 * @param state - The state before
 * @param changes - Changes known to be accepted, in any order
 * @returns The state after; its revision is never lower
 * @example
 * advanceConfiguration({ current, pending: new Map() }, [change]).current.revision;
 */
export function advanceConfiguration(state: AppliedState, changes: readonly AcceptedChange[]): AppliedState {
    const waiting = new Map(state.pending);
    for (const change of changes.filter(candidate => candidate.revision > state.current.revision)) {
        waiting.set(change.revision, change);
    }
    let current = state.current;
    for (let next = waiting.get(current.revision + 1); next !== undefined; next = waiting.get(current.revision + 1)) {
        current = applyChange(current, next);
    }
    return { current, pending: trimPending(waiting, current.revision) };
}

/**
 * Takes in a whole configuration, as read from the store or from another node.
 *
 * @param state - The state before
 * @param loaded - The configuration read; ignored unless it is newer
 * @returns The state after; its revision is never lower
 * @example
 * replaceConfiguration(state, loaded).current;
 */
export function replaceConfiguration(state: AppliedState, loaded: Configuration): AppliedState {
    return loaded.revision > state.current.revision
        ? advanceConfiguration({ current: loaded, pending: state.pending }, [])
        : state;
}

function trimPending(
    waiting: ReadonlyMap<number, AcceptedChange>,
    revision: number,
): ReadonlyMap<number, AcceptedChange> {
    const later = [...waiting.entries()].filter(([key]) => key > revision);
    return new Map(later.sort(([left], [right]) => left - right).slice(0, PENDING_MAX));
}
