/**
 * @module The rows of durable jobs.
 */
import type { Failure } from "../../../base/failure";
import type { FinishReason, Usage } from "../../../model/request";
import type { JobState } from "../../../tasks/jobs/jobClient";
import type { RowCondition, RowWrite } from "../../../ports/table";

/** A part of an object that holds the bodies of many jobs. */
export interface BodyReference {
    readonly objectKey: string;
    readonly start: number;
    readonly end: number;
}

/** The answer of a job. */
export interface JobAnswer {
    readonly text: string;
    readonly reason: FinishReason;
    readonly usage: Usage;
}

/** The job as its account sees it. The row is written when the job is accepted and when it ends. */
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
    /** Object that holds a large answer. */
    readonly answerObject?: string;
    readonly failure?: Failure;
}

/** A job that has not ended, and who works on it. */
export interface OpenJob {
    readonly jobId: string;
    readonly accountName: string;
    /** Name of the lease under which a node holds the job; empty if nobody does. */
    readonly holder: string;
    /** Rises each time the job changes hands. */
    readonly epoch: number;
    readonly deadlineWallMs: number;
}

/** A record with the version of its row. */
export interface Versioned<T> {
    readonly record: T;
    readonly version: number;
}

/** Conditions and writes that take effect together. */
export interface JobCommitEntry {
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly RowWrite[];
}
