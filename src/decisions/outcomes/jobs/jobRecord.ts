/**
 * @module The records stored for durable jobs.
 */
import type { Failure } from "../../../base/failure";
import type { FinishReason, Usage } from "../../../model/request";
import type { JobState } from "../../../tasks/jobs/jobClient";
import type { RowCondition, RowWrite } from "../../../ports/table";

/** The byte range of one job's body within an object that holds the bodies of many jobs. */
export interface BodyReference {
    readonly objectKey: string;
    readonly start: number;
    readonly end: number;
}

/** The answer to a job. */
export interface JobAnswer {
    readonly text: string;
    readonly reason: FinishReason;
    readonly usage: Usage;
}

/** A job as shown to its account. Written when the job is accepted and again when it ends. */
export interface JobRecord {
    readonly jobId: string;
    readonly accountName: string;
    readonly className: string;
    readonly isIdempotent: boolean;
    readonly model: string;
    readonly state: JobState;
    readonly acceptedAtWallMs: number;
    readonly deadlineWallMs: number;
    readonly body: BodyReference;
    /** Key of the row that binds the caller's idempotency key to the job. */
    readonly keyRow?: string;
    readonly endedAtWallMs?: number;
    /** A small answer. */
    readonly answer?: JobAnswer;
    /** Key of the object that holds a large answer. */
    readonly answerObject?: string;
    readonly failure?: Failure;
}

/** A job that has not ended, and its holder. Stored in the job's open row, which is removed when the job ends. */
export interface OpenJob {
    readonly jobId: string;
    readonly accountName: string;
    /** Name of the lease under which a node holds the job; empty if no node does. */
    readonly holder: string;
    /** Increments each time the holder changes. */
    readonly epoch: number;
    readonly deadlineWallMs: number;
}

/** A record with the version of its row. */
export interface Versioned<T> {
    readonly record: T;
    readonly version: number;
}

/** Conditions and writes that are committed atomically. */
export interface JobCommitEntry {
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly RowWrite[];
}
