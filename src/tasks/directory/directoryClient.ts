/**
 * @module The interface of the directory task to other tasks.
 */
import type { VmRecord } from "../../model/endpoint";

/**
 * Handle of the directory task, which merges the platform's VM list, the platform's reclaim notices and the departure
 * notices of other nodes. The VM list lags behind.
 */
export interface DirectoryClient {
    /** Returns the known VMs, including those that are leaving. */
    listVms(): readonly VmRecord[];
    /** Calls `listener` with the VMs after each change; the returned function unsubscribes it. */
    subscribeChanges(listener: (vms: readonly VmRecord[]) => void): () => void;
}
