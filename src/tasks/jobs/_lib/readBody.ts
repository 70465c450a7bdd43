/**
 * @module Reading back what a job asks for.
 */
import { z } from "zod";
import { type TaskGenerator, waitFor } from "../../../base/csp";
import type { BodyReference } from "../../../decisions/outcomes/jobs/jobRecord";
import { waitForStore } from "../../../ports/waitForStore";
import type { JobBody, JobTaskOptions } from "./jobShared";

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
 * Reads a job's body.
 *
 * @param options - Object store and clock
 * @param reference - Where it stands
 * @returns The body, or `undefined` if it can't be read now
 * @example
 * const body = yield* readBody(options, record.body);
 */
export function* readBody(
    options: Pick<JobTaskOptions, "objects" | "clock">,
    reference: BodyReference,
): TaskGenerator<JobBody | undefined> {
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
