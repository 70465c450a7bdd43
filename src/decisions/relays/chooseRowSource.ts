/**
 * @module Chooses where a node reads the rows of the store's tables: from the store itself, or from another node.
 */

/** The store, as a source of rows. */
export const STORE_SOURCE = "store";

/** What a node does in the distribution of rows. */
export enum RowRole {
    /** Reads the store, for all relays. */
    Reader = "reader",
    /** Reads from a reader, for the nodes of its failure domain. */
    Relay = "relay",
    /** Reads from a relay of its failure domain. */
    Node = "node",
}

/** Time for which another node is left alone after it failed. */
const NODE_BACKOFF_MS = 1_000;
/** The same for the store. The more nodes have a role, the more of them may turn to the store at once. */
const STORE_BACKOFF_MS: Readonly<Record<RowRole, number>> = {
    [RowRole.Reader]: 400,
    [RowRole.Relay]: 1_000,
    [RowRole.Node]: 2_400,
};

/** What the choice depends on. */
export interface RowSourceInput {
    readonly role: RowRole;
    /** Names of the nodes that may be asked, the first choice first. */
    readonly nodes: readonly string[];
    /** True if the rows that are known were current too long ago to wait for another node. */
    readonly areRowsStale?: boolean;
    /** Monotonic time of the last failure of each source. */
    readonly failedAtMs: ReadonlyMap<string, number>;
}

/**
 * Chooses a source. A reader reads the store, and from other nodes only while the store fails it; any other node reads
 * the store only while all other sources fail it, or once what they gave is stale.
 *
 * @param input - What is known of the sources
 * @param nowMs - Monotonic time
 * @returns `STORE_SOURCE`, the name of a node, or `undefined` while every source has just failed
 * @example
 * chooseRowSource({ role: RowRole.Node, nodes: ["west-1"], failedAtMs: new Map() }, nowMs); //=> "west-1"
 */
export function chooseRowSource(
    { role, nodes, areRowsStale = false, failedAtMs }: RowSourceInput,
    nowMs: number,
): string | undefined {
    const sources = role === RowRole.Reader || areRowsStale ? [STORE_SOURCE, ...nodes] : [...nodes, STORE_SOURCE];
    return sources.find(source => {
        const backoffMs = source === STORE_SOURCE ? STORE_BACKOFF_MS[role] : NODE_BACKOFF_MS;
        return nowMs - (failedAtMs.get(source) ?? Number.NEGATIVE_INFINITY) >= backoffMs;
    });
}
