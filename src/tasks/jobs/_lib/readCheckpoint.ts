/**
 * @module Reading the tokens that an earlier holder of a job has kept.
 */
import { z } from "zod";
import { type TaskGenerator, waitFor } from "../../../base/csp";
import { waitForStore } from "../../../ports/waitForStore";
import type { JobShared } from "./jobShared";
import { buildCheckpointKey } from "./buildCheckpointKey";

const TEXTS = z.array(z.string());

/**
 * Reads a job's checkpoint.
 *
 * @param shared - The job task
 * @param jobId - The job
 * @returns Its tokens, one text each; empty if there is none
 * @example
 * run.texts = yield* readCheckpoint(shared, jobId);
 */
export function* readCheckpoint(shared: JobShared, jobId: string): TaskGenerator<string[]> {
    const { clock, objects } = shared.options;
    const read = yield* waitFor(waitForStore(clock, objects.readObject(buildCheckpointKey(jobId))));
    if (read.isErr()) {
        return [];
    }
    try {
        return TEXTS.parse(JSON.parse(read.value.toString("utf8")));
    } catch {
        return [];
    }
}
