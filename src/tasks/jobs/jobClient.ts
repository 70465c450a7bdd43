/**
 * @module How the callers' face talks to the tasks that keep durable jobs.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { ChatRequest, FinishReason, RequestContext, Usage } from "../../model/request";

/** Where a job stands. */
export enum JobState {
    Queued = "queued",
    Running = "running",
    Succeeded = "succeeded",
    Failed = "failed",
    Cancelled = "cancelled",
}

/** A job as its account sees it. */
export interface JobView {
    readonly jobId: string;
    readonly accountName: string;
    readonly className: string;
    readonly model: string;
    readonly state: JobState;
    /** Epoch milliseconds. */
    readonly acceptedAtWallMs: number;
    /** Epoch milliseconds by which the job ends or fails. */
    readonly deadlineWallMs: number;
    readonly endedAtWallMs?: number;
    /** Present once the job succeeded. */
    readonly answer?: { readonly text: string; readonly reason: FinishReason; readonly usage: Usage };
    /** Present once the job failed. */
    readonly failure?: Failure;
}

/** Handle of the job tasks. An account sees its own jobs only; another's is `NotFound`. */
export interface JobClient {
    /** Accepts a job; succeeds only once it is durable. Failures: `StoreUnavailable`, `Overloaded`, `ShuttingDown`. */
    submitJob(context: RequestContext, chat: ChatRequest): Promise<Result<JobView, Failure>>;
    readJob(accountName: string, jobId: string): Promise<Result<JobView, Failure>>;
    /** Newest first. */
    listJobs(
        accountName: string,
        options: { readonly after?: string; readonly limit: number },
    ): Promise<Result<readonly JobView[], Failure>>;
    /** Cancels a job that has not ended; gives its state after that. */
    cancelJob(accountName: string, jobId: string): Promise<Result<JobView, Failure>>;
}
