/**
 * @module Tracks which nodes have applied which configuration revision, and encodes it in one bit per node.
 */
import { hashText } from "../../base/hashText";

/** The newest known revision of each node. It only increases, so merging is commutative, associative and idempotent. */
export type AppliedRevisions = ReadonlyMap<string, number>;

/**
 * Records that a node has applied a revision.
 *
 * @param revisions - The known revisions
 * @param nodeId - The node
 * @param revision - The revision; one that is not newer than the known one changes nothing
 * @returns The updated revisions
 * @example
 * recordRevision(revisions, "node-1", 12);
 */
export function recordRevision(revisions: AppliedRevisions, nodeId: string, revision: number): AppliedRevisions {
    return (revisions.get(nodeId) ?? 0) >= revision ? revisions : new Map(revisions).set(nodeId, revision);
}

/**
 * Hashes a roster, so that a bitmap is read only by nodes with the same roster.
 *
 * @param nodeIds - Node ids in the order of the roster
 * @returns An unsigned 32-bit number
 * @example
 * hashRoster(["node-1", "node-2"]);
 */
export function hashRoster(nodeIds: readonly string[]): number {
    return hashText(nodeIds.join("|"));
}

/**
 * Encodes which nodes have applied a revision or a newer one.
 *
 * @param revisions - The known revisions
 * @param nodeIds - Node ids in the order of the roster
 * @param revision - The revision
 * @returns A bitmap with one bit per node
 * @example
 * encodeApplied(revisions, nodeIds, 12).length; //=> 50 for 400 nodes
 */
export function encodeApplied(revisions: AppliedRevisions, nodeIds: readonly string[], revision: number): Uint8Array {
    const bits = new Uint8Array(Math.ceil(nodeIds.length / 8));
    nodeIds.forEach((nodeId, index) => {
        if ((revisions.get(nodeId) ?? 0) >= revision) {
            const byte = Math.floor(index / 8);
            bits[byte] = (bits[byte] ?? 0) | (1 << (index % 8));
        }
    });
    return bits;
}

/**
 * Merges another node's bitmap of the nodes that have applied a revision.
 *
 * @param revisions - The known revisions
 * @param nodeIds - Node ids in the order of the roster, which must be the sender's roster too
 * @param revision - The revision that the bitmap refers to
 * @param bits - The bitmap, one bit per node
 * @returns The updated revisions
 * @example
 * mergeApplied(revisions, nodeIds, message.revision, message.applied);
 */
export function mergeApplied(
    revisions: AppliedRevisions,
    nodeIds: readonly string[],
    revision: number,
    bits: Uint8Array,
): AppliedRevisions {
    const updatedIds = nodeIds.filter((nodeId, index) => {
        const isSet = ((bits[Math.floor(index / 8)] ?? 0) & (1 << (index % 8))) !== 0;
        return isSet && (revisions.get(nodeId) ?? 0) < revision;
    });
    return updatedIds.length === 0
        ? revisions
        : new Map([...revisions, ...updatedIds.map(nodeId => [nodeId, revision] as const)]);
}
