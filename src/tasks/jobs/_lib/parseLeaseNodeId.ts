/**
 * @module Node ids from lease names.
 */

/**
 * Reads the node from the name of its lease.
 *
 * @param leaseName - The name
 * @returns The node's id
 * @example
 * parseLeaseNodeId("jobs/node-1/01J...");  //=> "node-1"
 */
export function parseLeaseNodeId(leaseName: string): string {
    return decodeURIComponent(leaseName.split("/")[1] ?? "");
}
