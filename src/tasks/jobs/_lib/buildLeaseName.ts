/**
 * @module Names of the leases under which nodes hold their jobs.
 */

/**
 * Builds the name of the lease under which a node holds its jobs.
 *
 * @param nodeId - Id of the node
 * @param incarnation - Id that is unique to this run of the node's process
 * @returns Lease name
 * @example
 * buildLeaseName("node-1", createUniqueId(options));
 */
export function buildLeaseName(nodeId: string, incarnation: string): string {
    return `jobs/${encodeURIComponent(nodeId)}/${incarnation}`;
}
