/**
 * @module Port to what is stored of ordered moves of services to other versions.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";
import type { RolloutPhase } from "../model/gateway";

/** What is stored of a move. */
export interface RolloutRecord {
    readonly service: string;
    /** Revision of the order. */
    readonly order: number;
    readonly target: string;
    readonly phase: RolloutPhase;
    /** Cluster time at which the order was first seen. */
    readonly orderedAtMs: number;
}

/** A record, with the version of its row. */
export interface StoredRolloutRecord extends RolloutRecord {
    readonly rowVersion: number;
}

/** The stored records, which the operator sees too. Failures are those of `TablePort`. */
export interface RolloutRecordsPort {
    listRecords(): Promise<Result<readonly StoredRolloutRecord[], Failure>>;
    /** Writes a record if the row still has this version, or doesn't exist if that is `undefined`. */
    commitRecord(record: RolloutRecord, rowVersion: number | undefined): Promise<Result<void, Failure>>;
}
