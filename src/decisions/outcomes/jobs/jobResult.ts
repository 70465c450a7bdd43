/**
 * @module The results of jobs.
 */
import type { Failure } from "../../../base/failure";
import type { JobState } from "../../../tasks/jobs/jobClient";
import type { JobAnswer } from "./jobRecord";

/** The result of a job that has ended. */
export interface JobResult {
    readonly state: JobState.Succeeded | JobState.Failed | JobState.Cancelled;
    /** A small answer. */
    readonly answer?: JobAnswer;
    /** Key of the object that holds a large answer. */
    readonly answerObject?: string;
    readonly failure?: Failure;
}
