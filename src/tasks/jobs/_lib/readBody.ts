/**
 * @module Reads the stored request body of a job.
 */
import { z } from "zod";
import { type Step, waitFor } from "../../../base/csp";
import type { BodyReference } from "../../../decisions/outcomes/jobs/jobRecord";
import { waitForStore } from "../../../ports/waitForStore";
import type { JobBody, JobTaskOptions } from "./sharedJobState";

const BODY = z.object({
    chat: z.object({
        model: z.string(),
        messages: z.array(z.object({ role: z.string(), content: z.string() })),
        maximumTokens: z.number(),
        sampling: z.record(z.string(), z.unknown()),
    }),
    idempotencyKey: z.string().optional(),
});

/**
 * Reads a job's request body from the object store.
 *
 * @param options - Object store and clock
 * @param reference - Location of the body
 * @returns The body, or `undefined` if it could not be read or is malformed
 * @example
 * const body = yield* readBody(options, record.body);
 */
export function* readBody(
    options: Pick<JobTaskOptions, "objects" | "clock">,
    reference: BodyReference,
): Step<JobBody | undefined> {
    const { objectKey, start, end } = reference;
    const read = yield* waitFor(waitForStore(options.clock, options.objects.readObject(objectKey, { start, end })));
    if (read.isErr()) {
        return undefined;
    }
    try {
        return BODY.parse(JSON.parse(read.value.toString("utf8")));
    } catch {
        return undefined;
    }
}
