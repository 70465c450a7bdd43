/**
 * @module Executing one job that this node holds.
 */
import { createFailure } from "../../../base/createFailure";
import { receiveMessage, type TaskGenerator, waitFor } from "../../../base/csp";
import { Execution, type Failure, FailureKind } from "../../../base/failure";
import type { JobEnding } from "../../../decisions/outcomes/jobs/jobEnding";
import { decideJobRetry } from "../../../decisions/outcomes/jobs/decideJobRetry";
import type { FinishReason, RequestContext, Usage } from "../../../model/request";
import { waitForStore } from "../../../ports/waitForStore";
import { AnswerEventKind } from "../../execution/executionClient";
import {
    CHECKPOINT_TOKENS,
    INLINE_ANSWER_CHARACTERS,
    JOB_RETRY_MS,
    LONGEST_JOB_RETRY_MS,
    NODE_LOSS_CHANCE,
} from "../constants";
import { JobState } from "../jobClient";
import { readCheckpoint } from "./readCheckpoint";
import { writeCheckpoint } from "./writeCheckpoint";
import { createUniqueId } from "./createUniqueId";
import { endJob } from "./endJob";
import type { JobBody, JobRun, JobShared } from "./jobShared";
import { readBody } from "./readBody";

type Outcome =
    | { readonly isSuccess: true; readonly reason: FinishReason; readonly usage: Usage }
    | { readonly isSuccess: false; readonly failure: Failure };

/**
 * Executes a job until it succeeds, fails for good, reaches its deadline or is stopped, and writes its end.
 *
 * @param shared - The job task
 * @param run - The job
 * @example
 * startTask(`job ${jobId}`, () => runJob(shared, run));
 */
export function* runJob(shared: JobShared, run: JobRun): TaskGenerator<void> {
    const { clock } = shared.options;
    let pauseMs = JOB_RETRY_MS;
    let lastFailure: Failure | undefined;
    while (!run.isStopped) {
        const leftMs = run.job.record.deadlineWallMs - clock.readWallMs();
        if (leftMs <= 0) {
            yield* endJob(shared, run.job, run.open, { state: JobState.Failed, failure: createLate(lastFailure) });
            return;
        }
        yield* waitFor(shared.lease.ensureHeld());
        const body = yield* prepareRun(shared, run);
        if (body !== undefined && shared.lease.readHolder() === run.open.record.holder && !run.isStopped) {
            const outcome = yield* runOnce(shared, run, body, leftMs);
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
        pauseMs = Math.min(LONGEST_JOB_RETRY_MS, pauseMs * 2);
    }
}

/** Reads what a node that took the job over does not have: its body and its last checkpoint. */
function* prepareRun(shared: JobShared, run: JobRun): TaskGenerator<JobBody | undefined> {
    const body = run.body ?? (yield* readBody(shared.options, run.job.record.body));
    if (body !== undefined && run.texts.length === 0 && run.open.record.epoch > 1 && run.job.record.isIdempotent) {
        run.texts = yield* readCheckpoint(shared, run.job.record.jobId);
    }
    return body;
}

function* runOnce(shared: JobShared, run: JobRun, body: JobBody, leftMs: number): TaskGenerator<Outcome> {
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
    let nextCheckpoint = run.texts.length + CHECKPOINT_TOKENS;
    for (;;) {
        const event = yield* waitFor(receiveMessage(chat.answers));
        if (event === undefined) {
            const message = "The execution ended without an outcome.";
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
            nextCheckpoint = run.texts.length + CHECKPOINT_TOKENS;
            yield* writeCheckpoint(shared, run, NODE_LOSS_CHANCE);
        }
    }
}

function* endRun(shared: JobShared, run: JobRun, outcome: Outcome): TaskGenerator<void> {
    const state = run;
    state.isEnding = true;
    if (!outcome.isSuccess) {
        yield* endJob(shared, run.job, run.open, { state: JobState.Failed, failure: outcome.failure });
        return;
    }
    const answer = { text: run.texts.join(""), reason: outcome.reason, usage: outcome.usage };
    const text = JSON.stringify(answer);
    let ending: JobEnding = { state: JobState.Succeeded, answer };
    if (text.length > INLINE_ANSWER_CHARACTERS) {
        const answerObject = `jobs/answers/${run.job.record.jobId}/${run.open.record.epoch}`;
        yield* storeAnswer(shared, answerObject, text);
        ending = { state: JobState.Succeeded, answerObject };
    }
    yield* endJob(shared, run.job, run.open, ending);
}

function* storeAnswer(shared: JobShared, objectKey: string, text: string): TaskGenerator<void> {
    const { clock, objects } = shared.options;
    for (let pauseMs = JOB_RETRY_MS; ; pauseMs = Math.min(LONGEST_JOB_RETRY_MS, pauseMs * 2)) {
        const written = yield* waitFor(waitForStore(clock, objects.writeObject(objectKey, Buffer.from(text, "utf8"))));
        if (written.isOk()) {
            return;
        }
        yield* waitFor(clock.waitMs(pauseMs));
    }
}

function createLate(lastFailure: Failure | undefined): Failure {
    return createFailure(FailureKind.DeadlineExceeded, "The job did not end by its deadline.", {
        execution: lastFailure?.execution ?? Execution.Unknown,
        details: { cause: lastFailure?.kind },
    });
}
