/**
 * @module Executes a job that this node holds.
 */
import { createFailure } from "../../../base/createFailure";
import { receiveMessage, type Step, waitFor } from "../../../base/csp";
import { Execution, type Failure, FailureKind } from "../../../base/failure";
import type { JobResult } from "../../../decisions/outcomes/jobs/jobResult";
import { decideJobRetry } from "../../../decisions/outcomes/jobs/decideJobRetry";
import type { FinishReason, RequestContext, Usage } from "../../../model/request";
import { waitForStore } from "../../../ports/waitForStore";
import { AnswerEventKind } from "../../execution/executionClient";
import {
    CHECKPOINT_INTERVAL_TOKENS,
    MAXIMUM_INLINE_ANSWER_CHARACTERS,
    INITIAL_JOB_RETRY_DELAY_MS,
    MAXIMUM_JOB_RETRY_DELAY_MS,
    NODE_LOSS_PROBABILITY,
} from "../constants";
import { JobState } from "../jobClient";
import { readCheckpoint } from "./readCheckpoint";
import { writeCheckpoint } from "./writeCheckpoint";
import { createUniqueId } from "./createUniqueId";
import { endJob } from "./endJob";
import type { JobBody, JobRun, SharedJobState } from "./sharedJobState";
import { readBody } from "./readBody";

/** Result of one attempt to execute a job. */
type AttemptOutcome =
    | { readonly isSuccess: true; readonly reason: FinishReason; readonly usage: Usage }
    | { readonly isSuccess: false; readonly failure: Failure };

/**
 * Executes a job until it succeeds, fails permanently, reaches its deadline or is stopped. Writes the final state of
 * the job unless it was stopped.
 *
 * @param shared - State of the job task
 * @param run - Run of the job
 * @example
 * startTask(`job ${jobId}`, () => runJob(shared, run));
 */
export function* runJob(shared: SharedJobState, run: JobRun): Step<void> {
    const { clock } = shared.options;
    let pauseMs = INITIAL_JOB_RETRY_DELAY_MS;
    let lastFailure: Failure | undefined;
    while (!run.isStopped) {
        const leftMs = run.job.record.deadlineWallMs - clock.readWallMs();
        if (leftMs <= 0) {
            yield* endJob(shared, run.job, run.open, {
                state: JobState.Failed,
                failure: createDeadlineFailure(lastFailure),
            });
            return;
        }
        yield* waitFor(shared.lease.ensureHeld());
        const body = yield* prepareRun(shared, run);
        if (body !== undefined && shared.lease.readHolder() === run.open.record.holder && !run.isStopped) {
            const outcome = yield* runAttempt(shared, run, body, leftMs);
            if (run.isStopped) {
                return;
            }
            const isRetried =
                !outcome.isSuccess && decideJobRetry(outcome.failure, run.job.record.isIdempotent, leftMs, pauseMs);
            if (!isRetried) {
                yield* endRun(shared, run, outcome);
                return;
            }
            lastFailure = outcome.failure;
        }
        const untilDeadlineMs = run.job.record.deadlineWallMs - clock.readWallMs();
        yield* waitFor(clock.waitMs(Math.min(pauseMs, Math.max(1, untilDeadlineMs))));
        pauseMs = Math.min(MAXIMUM_JOB_RETRY_DELAY_MS, pauseMs * 2);
    }
}

/** Reads the request body and the last checkpoint, which a node that has taken over the job does not have in memory. */
function* prepareRun(shared: SharedJobState, run: JobRun): Step<JobBody | undefined> {
    const body = run.body ?? (yield* readBody(shared.options, run.job.record.body));
    if (body !== undefined && run.texts.length === 0 && run.open.record.epoch > 1 && run.job.record.isIdempotent) {
        run.texts = yield* readCheckpoint(shared, run.job.record.jobId);
    }
    return body;
}

/** Executes the job once, resuming after the tokens generated so far, and writes checkpoints on the way. */
function* runAttempt(shared: SharedJobState, run: JobRun, body: JobBody, leftMs: number): Step<AttemptOutcome> {
    const { clock, execution } = shared.options;
    const nowMs = clock.readMonotonicMs();
    const { record } = run.job;
    const context: RequestContext = {
        requestId: createUniqueId(shared.options),
        accountName: record.accountName,
        className: record.className,
        isIdempotent: record.isIdempotent,
        idempotencyKey: record.isIdempotent ? undefined : body.idempotencyKey,
        acceptedAtMs: nowMs,
        firstTokenDueAtMs: nowMs + leftMs,
        deadlineAtMs: nowMs + leftMs,
    };
    const chat = execution.startChat(context, body.chat, { resumedTexts: run.texts });
    run.chat = chat;
    let nextCheckpoint = run.texts.length + CHECKPOINT_INTERVAL_TOKENS;
    for (;;) {
        const event = yield* waitFor(receiveMessage(chat.answers));
        if (event === undefined) {
            const message = "The execution of the job ended without a result.";
            const failure = createFailure(FailureKind.TaskFailed, message, { execution: Execution.Unknown });
            return { isSuccess: false, failure };
        }
        if (event.kind === AnswerEventKind.Failed) {
            run.texts = record.isIdempotent ? run.texts : [];
            return { isSuccess: false, failure: event.failure };
        }
        if (event.kind === AnswerEventKind.Finished) {
            return { isSuccess: true, reason: event.reason, usage: event.usage };
        }
        run.texts.push(...event.batch.texts);
        if (run.texts.length >= nextCheckpoint) {
            nextCheckpoint = run.texts.length + CHECKPOINT_INTERVAL_TOKENS;
            yield* writeCheckpoint(shared, run, NODE_LOSS_PROBABILITY);
        }
    }
}

/** Stores a large answer in the object store, then writes the final state of the job. */
function* endRun(shared: SharedJobState, run: JobRun, outcome: AttemptOutcome): Step<void> {
    const state = run;
    state.isEnding = true;
    if (!outcome.isSuccess) {
        yield* endJob(shared, run.job, run.open, { state: JobState.Failed, failure: outcome.failure });
        return;
    }
    const answer = { text: run.texts.join(""), reason: outcome.reason, usage: outcome.usage };
    const text = JSON.stringify(answer);
    let ending: JobResult = { state: JobState.Succeeded, answer };
    if (text.length > MAXIMUM_INLINE_ANSWER_CHARACTERS) {
        const answerObject = `jobs/answers/${run.job.record.jobId}/${run.open.record.epoch}`;
        yield* storeAnswer(shared, answerObject, text);
        ending = { state: JobState.Succeeded, answerObject };
    }
    yield* endJob(shared, run.job, run.open, ending);
}

/** Writes an answer to the object store, retrying until it is stored. */
function* storeAnswer(shared: SharedJobState, objectKey: string, text: string): Step<void> {
    const { clock, objects } = shared.options;
    for (let pauseMs = INITIAL_JOB_RETRY_DELAY_MS; ; pauseMs = Math.min(MAXIMUM_JOB_RETRY_DELAY_MS, pauseMs * 2)) {
        const written = yield* waitFor(waitForStore(clock, objects.writeObject(objectKey, Buffer.from(text, "utf8"))));
        if (written.isOk()) {
            return;
        }
        yield* waitFor(clock.waitMs(pauseMs));
    }
}

function createDeadlineFailure(lastFailure: Failure | undefined): Failure {
    return createFailure(FailureKind.DeadlineExceeded, "The job did not end by its deadline.", {
        execution: lastFailure?.execution ?? Execution.Unknown,
        details: { cause: lastFailure?.kind },
    });
}
