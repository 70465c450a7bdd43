/**
 * @module The ways in which jobs end.
 */
import type { Failure } from "../../../base/failure";
import type { JobState } from "../../../tasks/jobs/jobClient";
import type { JobAnswer } from "./jobRecord";

/** How a job ends. */
export interface JobResult {
    readonly state: JobState.Succeeded | JobState.Failed | JobState.Cancelled;
    readonly answer?: JobAnswer;
    readonly answerObject?: string;
    readonly failure?: Failure;
}
