/**
 * @module Advancing a node's configuration, revision by revision.
 */
import type { AcceptedChange, Configuration } from "../../model/configuration";
import { applyChange } from "./applyChange";

/** Changes kept while an earlier one is missing. Beyond it the newest are dropped and read again later. */
const PENDING_CHANGES_LIMIT = 256;

/** The configuration that a node has applied, and the changes that it has received too early. */
export interface AppliedState {
    readonly current: Configuration;
    /** Changes that can't be applied yet because an earlier one is missing, by revision. */
    readonly pending: ReadonlyMap<number, AcceptedChange>;
}

/**
 * Applies accepted changes strictly in the order of their revisions: older changes are ignored, and later ones stay
 * pending until the gap is closed. The result doesn't depend on the order in which changes arrive or on duplicates.
 *
 * @param state - The previous state
 * @param changes - Accepted changes, in any order
 * @returns The new state; its revision is never lower than before
 * @example
 * advanceConfiguration({ current, pending: new Map() }, [change]).current.revision;
 */
export function advanceConfiguration(state: AppliedState, changes: readonly AcceptedChange[]): AppliedState {
    const received = new Map(state.pending);
    for (const change of changes.filter(candidate => candidate.revision > state.current.revision)) {
        received.set(change.revision, change);
    }
    let current = state.current;
    for (let next = received.get(current.revision + 1); next !== undefined; next = received.get(current.revision + 1)) {
        current = applyChange(current, next);
    }
    return { current, pending: trimPending(received, current.revision) };
}

/**
 * Replaces the configuration by a complete one that was read from the store or from another node.
 *
 * @param state - The previous state
 * @param loaded - The configuration that was read; ignored unless it is newer
 * @returns The new state; its revision is never lower than before
 * @example
 * replaceConfiguration(state, loaded).current;
 */
export function replaceConfiguration(state: AppliedState, loaded: Configuration): AppliedState {
    return loaded.revision > state.current.revision
        ? advanceConfiguration({ current: loaded, pending: state.pending }, [])
        : state;
}

function trimPending(
    received: ReadonlyMap<number, AcceptedChange>,
    revision: number,
): ReadonlyMap<number, AcceptedChange> {
    const later = [...received.entries()].filter(([key]) => key > revision);
    return new Map(later.sort(([left], [right]) => left - right).slice(0, PENDING_CHANGES_LIMIT));
}
