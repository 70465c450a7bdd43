/**
 * @module Jobs as callers see them.
 */
import type { JobView } from "../tasks/jobs/jobClient";
import { buildFailureBody } from "../http/buildFailureBody";
import { buildCompletion } from "./completionBodies";

const MS_PER_SECOND = 1_000;

/**
 * Builds the JSON body of a job.
 *
 * @param job - The job
 * @returns The body; `response` is a chat completion once the job succeeded, `error` is present once it failed
 * @example
 * sendJson(response, 200, buildJobBody(job));
 */
export function buildJobBody(job: JobView): object {
    const identity = {
        requestId: job.jobId,
        createdSeconds: Math.floor(job.acceptedAtWallMs / MS_PER_SECOND),
        model: job.model,
    };
    return {
        id: job.jobId,
        object: "job",
        status: job.state,
        class: job.className,
        model: job.model,
        accepted_at_ms: job.acceptedAtWallMs,
        deadline_at_ms: job.deadlineWallMs,
        ended_at_ms: job.endedAtWallMs,
        response: job.answer === undefined ? undefined : buildCompletion(identity, job.answer),
        error: job.failure === undefined ? undefined : buildFailureBody(job.failure, job.jobId).error,
    };
}
