/**
 * @module Reads the checkpoint that an earlier holder of a job has written.
 */
import { z } from "zod";
import { type Step, waitFor } from "../../../base/csp";
import { waitForStore } from "../../../ports/waitForStore";
import type { SharedJobState } from "./sharedJobState";
import { buildCheckpointKey } from "./buildCheckpointKey";

const TEXTS = z.array(z.string());

/**
 * Reads a job's checkpoint.
 *
 * @param shared - State of the job task
 * @param jobId - Id of the job
 * @returns Texts of the generated tokens; empty if there is no readable checkpoint
 * @example
 * run.texts = yield* readCheckpoint(shared, jobId);
 */
export function* readCheckpoint(shared: SharedJobState, jobId: string): Step<string[]> {
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
