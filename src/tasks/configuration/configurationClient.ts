/**
 * @module How other tasks talk to the configuration task.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { AcceptedChange, Configuration, ConfigurationChange } from "../../model/configuration";

/** A node that is not known to have a revision in force. */
export interface LackingNode {
    readonly nodeId: string;
    /** Newest revision it is known to have applied; 0 while nothing is known. */
    readonly revision: number;
    /** True while the node is suspected of having failed, for example in a region that can't be reached. */
    readonly isSuspect: boolean;
}

/** Where a revision is in force. */
export interface InForceReport {
    readonly revision: number;
    /** True if every node that is not known to be dead or gone has applied the revision or a newer one. */
    readonly isInForce: boolean;
    readonly nodeCount: number;
    /** Who lacks it, by node id. */
    readonly lacking: readonly LackingNode[];
}

/** Handle of the configuration task. */
export interface ConfigurationClient {
    /** The configuration in force on this node now. */
    readCurrent(): Configuration;
    /**
     * Commits a change. Failures: `InvalidConfiguration`, `RevisionConflict` (details show what is there now),
     * `StoreUnavailable`, `StoreOutcomeUnknown`.
     */
    commitChange(change: ConfigurationChange): Promise<Result<AcceptedChange, Failure>>;
    /** Calls `listener` after each applied revision; the returned function ends that. */
    subscribeApplied(listener: (configuration: Configuration) => void): () => void;
    /**
     * Waits until every live node has applied a revision, for at most `timeoutMs` milliseconds. Resolves with what is
     * known at the end, also when nodes still lack it; never rejects.
     */
    waitUntilInForce(revision: number, timeoutMs: number): Promise<InForceReport>;
}
