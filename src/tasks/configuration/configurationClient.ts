/**
 * @module How other tasks talk to the configuration task.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { AcceptedChange, Configuration, ConfigurationChange } from "../../model/configuration";

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
}
