/**
 * @module The interface of the configuration task to other tasks.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { AcceptedChange, Configuration, ConfigurationChange } from "../../model/configuration";

/** A node that is not known to have applied a revision. */
export interface OutdatedNode {
    readonly nodeId: string;
    /** Newest revision that it is known to have applied; 0 while none is known. */
    readonly revision: number;
    /** True while the node is suspected of having failed, for example in a region that can't be reached. */
    readonly isSuspect: boolean;
}

/** Reports on which nodes a revision is in force, that is, applied. */
export interface InForceReport {
    readonly revision: number;
    /** True if every node that is not known to be dead or to have left has applied the revision or a newer one. */
    readonly isInForce: boolean;
    /** Nodes that are not known to be dead or to have left. */
    readonly nodeCount: number;
    /** Nodes that have not applied the revision, sorted by node id. */
    readonly lacking: readonly OutdatedNode[];
}

/** Handle of the configuration task. */
export interface ConfigurationClient {
    /** Returns the configuration that this node has applied. */
    readCurrent(): Configuration;
    /**
     * Commits a change. Failures: `InvalidConfiguration`, `RevisionConflict` (its details hold the current revision and
     * items), `StoreUnavailable`, `StoreOutcomeUnknown`.
     */
    commitChange(change: ConfigurationChange): Promise<Result<AcceptedChange, Failure>>;
    /** Calls `listener` whenever this node applies a newer revision; the returned function unsubscribes it. */
    subscribeApplied(listener: (configuration: Configuration) => void): () => void;
    /**
     * Waits until every live node has applied a revision, for at most `timeoutMs` milliseconds. Resolves with the
     * state by then, even if nodes are still outdated; never rejects.
     */
    waitUntilInForce(revision: number, timeoutMs: number): Promise<InForceReport>;
}
