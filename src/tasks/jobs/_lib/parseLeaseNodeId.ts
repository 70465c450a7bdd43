/**
 * @module Node ids from lease names.
 */

/**
 * Returns the id of the node to which a lease name belongs.
 *
 * @param leaseName - Name built by `buildLeaseName`
 * @returns Node id; empty for an empty name
 * @example
 * parseLeaseNodeId("jobs/node-1/01J...");  //=> "node-1"
 */
export function parseLeaseNodeId(leaseName: string): string {
    return decodeURIComponent(leaseName.split("/")[1] ?? "");
}
