/**
 * @module Interface through which the caller API submits and reads durable jobs.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { ChatRequest, FinishReason, RequestContext, Usage } from "../../model/request";

/** State of a job. */
export enum JobState {
    Queued = "queued",
    /**
     * Being executed by the node that was asked. Only shown in views: the stored state stays `Queued` until the end.
     */
    Running = "running",
    Succeeded = "succeeded",
    Failed = "failed",
    Cancelled = "cancelled",
}

/** A job as shown to its account. */
export interface JobView {
    readonly jobId: string;
    readonly accountName: string;
    readonly className: string;
    readonly model: string;
    readonly state: JobState;
    /** Epoch milliseconds. */
    readonly acceptedAtWallMs: number;
    /** Epoch milliseconds; a job that has not ended by then fails. */
    readonly deadlineWallMs: number;
    /** Epoch milliseconds; present once the job has ended. */
    readonly endedAtWallMs?: number;
    /** Present once the job has succeeded. */
    readonly answer?: { readonly text: string; readonly reason: FinishReason; readonly usage: Usage };
    /** Present once the job has failed. */
    readonly failure?: Failure;
}

/** Client of the job task. An account sees only its own jobs; any other job is `NotFound`. */
export interface JobClient {
    /**
     * Submits a job; succeeds only once the job is durable. Failures: `IdempotencyKeyRequired`, `IdempotencyKeyReused`,
     * `StoreUnavailable`, `StoreOutcomeUnknown`, `Overloaded` and `ShuttingDown`.
     */
    submitJob(context: RequestContext, chat: ChatRequest): Promise<Result<JobView, Failure>>;
    /** Returns a job with its answer. */
    readJob(accountName: string, jobId: string): Promise<Result<JobView, Failure>>;
    /** Lists jobs, newest first, starting after the job id `after`. Answers in the object store are left out. */
    listJobs(
        accountName: string,
        options: { readonly after?: string; readonly limit: number },
    ): Promise<Result<readonly JobView[], Failure>>;
    /** Cancels a job unless it has ended, and returns its resulting state. */
    cancelJob(accountName: string, jobId: string): Promise<Result<JobView, Failure>>;
}
