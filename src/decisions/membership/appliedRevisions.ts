/**
 * @module Which node has applied which configuration revision, in one bit a node.
 */
import { hashText } from "../../base/hashText";

/** The newest revision known of each node. It only rises, so merging is commutative, associative and idempotent. */
export type AppliedRevisions = ReadonlyMap<string, number>;

/**
 * Records a node's revision.
 *
 * @param revisions - What is known
 * @param nodeId - The node
 * @param revision - A revision it has applied
 * @returns What is known after that
 * @example
 * recordRevision(revisions, "node-1", 12);
 */
export function recordRevision(revisions: AppliedRevisions, nodeId: string, revision: number): AppliedRevisions {
    return (revisions.get(nodeId) ?? 0) >= revision ? revisions : new Map(revisions).set(nodeId, revision);
}

/**
 * Identifies a roster, so that bits are read only by nodes that have the same one.
 *
 * @param nodeIds - Node ids in order
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
 * @param revisions - What is known
 * @param nodeIds - The roster in order
 * @param revision - The revision
 * @returns One bit a node
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
 * Merges what another node says of who has applied a revision.
 *
 * @param revisions - What is known
 * @param nodeIds - The roster in order; the bits must refer to the same one
 * @param revision - The revision that the bits are about
 * @param bits - One bit a node
 * @returns What is known after that
 * @example
 * mergeApplied(revisions, nodeIds, message.revision, message.applied);
 */
export function mergeApplied(
    revisions: AppliedRevisions,
    nodeIds: readonly string[],
    revision: number,
    bits: Uint8Array,
): AppliedRevisions {
    const raised = nodeIds.filter((nodeId, index) => {
        const isSet = ((bits[Math.floor(index / 8)] ?? 0) & (1 << (index % 8))) !== 0;
        return isSet && (revisions.get(nodeId) ?? 0) < revision;
    });
    return raised.length === 0
        ? revisions
        : new Map([...revisions, ...raised.map(nodeId => [nodeId, revision] as const)]);
}
