/**
 * @module Nodes from the names of their leases.
 */

/**
 * Reads the node from the name of its lease.
 *
 * @param leaseName - The name
 * @returns The node's id
 * @example
 * parseLeaseName("jobs/node-1/01J...");  //=> "node-1"
 */
export function parseLeaseName(leaseName: string): string {
    return decodeURIComponent(leaseName.split("/")[1] ?? "");
}
