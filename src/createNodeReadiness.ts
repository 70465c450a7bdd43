/**
 * @module Tells when a node may be given callers.
 */
import type { ConfigurationTask } from "./tasks/configuration/createConfigurationTask";
import type { DirectoryTask } from "./tasks/directory/createDirectoryTask";

/** What a node has to know before it is ready. */
export interface ReadinessSources {
    readonly configuration: Pick<ConfigurationTask, "isReady" | "whenReady">;
    readonly directory: Pick<DirectoryTask, "listVms" | "subscribeChanges">;
}

/** The readiness of a node. */
export interface NodeReadiness {
    /** Resolves once the configuration and the first VMs are known. */
    readonly whenReady: Promise<void>;
    /** Whether the node may be given callers now. */
    isReady(): boolean;
    /** States that all listeners of the node listen. */
    finishStart(): void;
}

/**
 * Creates the readiness of a node. A node is ready once its start is finished and it has a configuration and VMs;
 * without VMs it would have no endpoint to send a request to.
 *
 * @param sources - The tasks that know the configuration and the VMs
 * @returns The readiness
 * @example
 * const readiness = createNodeReadiness({ configuration, directory });
 * readiness.finishStart();
 */
export function createNodeReadiness({ configuration, directory }: ReadinessSources): NodeReadiness {
    let isStarted = false;
    const whenVmsKnown = new Promise<void>(resolve => {
        const release = directory.subscribeChanges(vms => {
            if (vms.length > 0) {
                release();
                resolve();
            }
        });
    });
    return {
        whenReady: Promise.all([configuration.whenReady, whenVmsKnown]).then(() => undefined),
        isReady: () => isStarted && configuration.isReady() && directory.listVms().length > 0,
        finishStart: () => {
            isStarted = true;
        },
    };
}
