/**
 * @module How other tasks learn which VMs there are.
 */
import type { VmRecord } from "../../model/endpoint";

/** Handle of the task that merges the platform's lagging VM list, reclaim notices and what other nodes say. */
export interface DirectoryClient {
    /** The VMs known now, leaving ones included. */
    listVms(): readonly VmRecord[];
    /** Calls `listener` after each change; the returned function ends that. */
    subscribeChanges(listener: (vms: readonly VmRecord[]) => void): () => void;
}
