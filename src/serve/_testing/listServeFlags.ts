/**
 * @module The settings of a node that tests run on a platform on loopback.
 */

/**
 * Lists the settings of a node, each as the flag that is named in camel case.
 *
 * @param platformUrl - Where the platform listens
 * @returns The texts of the settings by name
 * @example
 * readSettings(listServeFlags(embedded.platformUrl), {});
 */
export function listServeFlags(platformUrl: string): Readonly<Record<string, string>> {
    return {
        nodeId: "node-9",
        vmId: "node-vm-9",
        region: "local",
        failureDomain: "local",
        callerPort: "0",
        operatorPort: "0",
        nodePort: "0",
        platformTableUrl: platformUrl,
        platformObjectsUrl: platformUrl,
        platformCloudUrl: platformUrl,
        platformVmListUrl: platformUrl,
        operatorKeyHashes: "0".repeat(64),
        logFormat: "json",
    };
}
