/**
 * @module Port to the tables of the platform's store that a node watches for changes.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";

/** A row, or the removal of one. */
export interface WatchedRow {
    readonly key: string;
    /** `undefined` if the row was removed. */
    readonly value: string | undefined;
    readonly version: number;
}

/** Rows of a table at one revision of the store. */
export interface TableRows {
    readonly rows: readonly WatchedRow[];
    /** Revision of the store up to which the rows include all changes. */
    readonly revision: number;
    /** The store's monotonic clock, in milliseconds. */
    readonly storeNowMs: number;
    /**
     * Milliseconds from the call until the store was asked for these rows; negative if it was asked before the call.
     * Absent: it was asked at the call.
     */
    readonly askedAfterMs?: number;
    /** True if the store was away shortly before. */
    readonly isStoreRecovering?: boolean;
}

/**
 * Watches tables. Failures: `StoreUnavailable`, `RelayUnavailable` (another node did not pass the rows on), `HistoryLost`
 * (changes since the revision are no longer kept).
 */
export interface WatchedTablePort {
    /** Reads a whole table. */
    readTable(table: string): Promise<Result<TableRows, Failure>>;
    /** Waits up to `waitMs` for changes after `revision`; gives no rows if there were none. */
    waitForChanges(table: string, revision: number, waitMs: number): Promise<Result<TableRows, Failure>>;
}
