/**
 * @module Names of nodes' leases.
 */

/**
 * Builds the name of the node's lease.
 *
 * @param nodeId - The node
 * @param incarnation - Unique to this start of the process
 * @returns The name
 * @example
 * buildLeaseName("node-1", createUniqueId(options));
 */
export function buildLeaseName(nodeId: string, incarnation: string): string {
    return `jobs/${encodeURIComponent(nodeId)}/${incarnation}`;
}
