/**
 * @module Decodes the rows of durable jobs, and defines the prefixes of their keys.
 */
import { z } from "zod";
import { Execution, FailureKind } from "../../../base/failure";
import { FinishReason } from "../../../model/request";
import { JobState } from "../../../tasks/jobs/jobClient";
import type { JobAnswer, JobRecord, OpenJob } from "./jobRecord";

/** Key prefix of the open rows, one for each job that has not ended. */
export const OPEN_JOB_PREFIX = "jobs/open/";
/** Key prefix of the rows by which the cleanup finds ended jobs. */
export const ENDED_JOB_PREFIX = "jobs/ended/";
/** Key prefix of the objects that hold job bodies. */
export const JOB_BODY_PREFIX = "jobs/bodies/";

const FAILURE = z.object({
    kind: z.enum(FailureKind),
    message: z.string(),
    execution: z.enum(Execution),
    retryAfterMs: z.number().optional(),
    details: z.record(z.string(), z.unknown()).optional(),
});
const USAGE = z.object({ promptTokens: z.number(), outputTokens: z.number(), cachedTokens: z.number() });
const ANSWER = z.object({ text: z.string(), reason: z.enum(FinishReason), usage: USAGE });
const KEY = z.object({ jobId: z.string(), bodyHash: z.string() });
const RECORD = z.object({
    jobId: z.string(),
    accountName: z.string(),
    className: z.string(),
    isIdempotent: z.boolean(),
    model: z.string(),
    state: z.enum(JobState),
    acceptedAtWallMs: z.number(),
    deadlineWallMs: z.number(),
    body: z.object({ objectKey: z.string(), start: z.number(), end: z.number() }),
    keyRow: z.string().optional(),
    endedAtWallMs: z.number().optional(),
    answer: ANSWER.optional(),
    answerObject: z.string().optional(),
    failure: FAILURE.optional(),
});
const OPEN = z.object({
    jobId: z.string(),
    accountName: z.string(),
    holder: z.string(),
    epoch: z.number(),
    deadlineWallMs: z.number(),
});

/**
 * Decodes a job row.
 *
 * @param text - The row's value
 * @returns The job, or `undefined` if the text is not a valid job row
 * @example
 * const record = decodeJob(row.value);
 */
export function decodeJob(text: string): JobRecord | undefined {
    return parseJson(RECORD, text);
}

/**
 * Decodes the open row of a job, which exists only until the job ends.
 *
 * @param text - The row's value
 * @returns The open job, or `undefined` if the text is not a valid open row
 * @example
 * const open = decodeOpenJob(row.value);
 */
export function decodeOpenJob(text: string): OpenJob | undefined {
    return parseJson(OPEN, text);
}

/**
 * Decodes the row that binds an idempotency key to a job.
 *
 * @param text - The row's value
 * @returns The job and the hash of its request, or `undefined` if the text is not a valid key row
 * @example
 * const bound = decodeJobKey(row.value);
 */
export function decodeJobKey(text: string): z.infer<typeof KEY> | undefined {
    return parseJson(KEY, text);
}

/**
 * Decodes a job's answer that is kept as an object.
 *
 * @param text - The object's content
 * @returns The answer, or `undefined` if the text is not a whole answer
 * @example
 * const answer = decodeJobAnswer(bytes.toString("utf8"));
 */
export function decodeJobAnswer(text: string): JobAnswer | undefined {
    return parseJson(ANSWER, text);
}

function parseJson<T>(schema: z.ZodType<T>, text: string): T | undefined {
    try {
        return schema.parse(JSON.parse(text));
    } catch {
        return undefined;
    }
}
