/**
 * @module Executes requests, each in its own js-csp task.
 */
import { err, ok, type Result } from "neverthrow";
import { assertInvariant, Invariant } from "../../base/assertInvariant";
import { createFailure } from "../../base/createFailure";
import { closeChannel, createChannel, sendMessage, startTask } from "../../base/csp";
import type { DumpSource } from "../../base/dump";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import type { RequestContext, ServiceCall } from "../../model/request";
import type { ServiceResponse } from "../../ports/applicationRunner";
import { type ChatRun, ControlKind } from "./_lib/chatRun";
import { convertStopped } from "./_lib/convertStopped";
import { createChatRun } from "./_lib/createChatRun";
import { createReclaimPlanner } from "./_lib/createReclaimPlanner";
import type { ExecutionCounts, ExecutionShared } from "./_lib/executionShared";
import { sendControl } from "./_lib/sendControl";
import { ANSWER_CHANNEL_CAPACITY, DEFAULT_RECLAIM_TERMS, DRAIN_POLL_INTERVAL_MS } from "./constants";
import { type AnswerEvent, AnswerEventKind, type ExecutionClient } from "./executionClient";
import type { ExecutionDependencies } from "./executionDependencies";
import { runChat } from "./runChat";
import { runServiceCall } from "./runServiceCall";

/** Result of draining the requests in progress. */
export interface DrainResult {
    /** Requests that were still running at the timeout and ended with a failure. */
    readonly cut: number;
}

/** The execution task: its client, its shutdown and its counts. */
export interface ExecutionTask extends ExecutionClient, DumpSource {
    /**
     * Refuses new requests and waits at most `timeoutMs` for those in progress. Requests that still run then end with a
     * failure; none is ended earlier. Call it before closing the listeners.
     */
    drain(timeoutMs: number): Promise<DrainResult>;
    /** Counts since the start, for dumps and benchmarks. */
    readCounts(): Readonly<ExecutionCounts>;
}

/** A request in progress. */
interface OpenRequest {
    /** Ends the request when the drain timeout expires. */
    readonly stop: () => void;
}

/**
 * Creates the execution task.
 *
 * @param dependencies - Admission, routing, runners, claims and clock
 * @returns The client for the caller API and the job task
 * @example
 * const execution = createExecutionTask(dependencies);
 * const chat = execution.startChat(context, request);
 */
export function createExecutionTask(dependencies: ExecutionDependencies): ExecutionTask {
    const shared = createShared(dependencies);
    const openRequests = new Map<string, OpenRequest>();
    const task: ExecutionTask = {
        name: "execution",
        startChat: (context, chat, options = {}) => {
            const answers = createChannel<AnswerEvent>(ANSWER_CHANNEL_CAPACITY);
            const cancelled = new AbortController();
            const cancel = () => cancelled.abort();
            if (shared.drainDeadlineMs !== undefined) {
                void refuseChat(answers);
                return { answers, cancel };
            }
            const run = createChatRun(shared, context, chat, answers, cancelled.signal, options.resumedTexts ?? []);
            cancelled.signal.addEventListener("abort", () => stopRun(run, ControlKind.Cancelled));
            openRequests.set(context.requestId, { stop: () => stopRun(run, ControlKind.ShutdownTimedOut) });
            const ended = startTask(`chat ${context.requestId}`, () => runChat(run)).ended;
            void ended.then(end => closeAnswer(run, end.failure)).then(() => openRequests.delete(context.requestId));
            return { answers, cancel };
        },
        callService: (context, call, cancelled) => {
            if (shared.drainDeadlineMs !== undefined) {
                return Promise.resolve(err(createShutdownFailure()));
            }
            const stopped = AbortSignal.any([cancelled, trackCall(shared, openRequests, context)]);
            return startServiceCall(shared, context, call, stopped)
                .then(answer => answer.mapErr(failure => convertStopped(failure, cancelled.aborted)))
                .finally(() => openRequests.delete(context.requestId));
        },
        drain: async timeoutMs => {
            const { clock } = dependencies;
            const deadlineMs = clock.readMonotonicMs() + timeoutMs;
            shared.drainDeadlineMs = deadlineMs;
            while (openRequests.size > 0 && clock.readMonotonicMs() < deadlineMs) {
                await clock.waitMs(Math.min(DRAIN_POLL_INTERVAL_MS, deadlineMs - clock.readMonotonicMs()));
            }
            const remaining = [...openRequests.values()];
            remaining.forEach(request => request.stop());
            return { cut: remaining.length };
        },
        readCounts: () => ({ ...shared.counts }),
        dumpState: () => ({
            counts: shared.counts,
            open: openRequests.size,
            isDraining: shared.drainDeadlineMs !== undefined,
            budgets: Object.fromEntries(shared.budgets),
            answerTokens: Object.fromEntries(shared.answerTokens),
        }),
    };
    return task;
}

function createShared(dependencies: ExecutionDependencies): ExecutionShared {
    return {
        dependencies,
        counts: {
            requests: 0,
            extraAttempts: 0,
            hedges: 0,
            resumes: 0,
            refusedByBudget: 0,
            silentConnections: 0,
            recomputedTokens: 0,
            cacheMoves: 0,
            prefillMoves: 0,
            shed: 0,
            droppedEvents: 0,
            trimmedEvents: 0,
            cutByShutdown: 0,
        },
        budgets: new Map(),
        answerTokens: new Map(),
        planner: createReclaimPlanner({
            clock: dependencies.clock,
            readTerms: dependencies.readReclaimTerms ?? (() => DEFAULT_RECLAIM_TERMS),
        }),
        drainDeadlineMs: undefined,
    };
}

function stopRun(run: ChatRun, kind: ControlKind.Cancelled | ControlKind.ShutdownTimedOut): void {
    const { admission } = run.shared.dependencies;
    if (run.lastAttemptNumber === 0) {
        admission.cancelAdmission(run.context.requestId);
    }
    sendControl(run, { kind });
}

async function refuseChat(answers: ChatRun["answers"]): Promise<void> {
    await sendMessage(answers, { kind: AnswerEventKind.Failed, failure: createShutdownFailure() });
    closeChannel(answers);
}

/** Closes the answer; a task that failed unexpectedly has sent no last event, so the failure is sent here. */
async function closeAnswer(run: ChatRun, failure: Failure | undefined): Promise<void> {
    if (failure !== undefined) {
        run.shared.dependencies.reportEvent("chat task failed", {
            requestId: run.context.requestId,
            kind: failure.kind,
        });
        const reported = { ...failure, execution: Execution.Unknown };
        run.live.forEach(attempt => attempt.generation.cancel());
        run.shared.dependencies.admission.finishRequest(run.context.requestId, 0);
        await Promise.race([
            sendMessage(run.answers, { kind: AnswerEventKind.Failed, failure: reported }),
            waitForAbort(run),
        ]);
    }
    closeChannel(run.answers);
}

function waitForAbort(run: ChatRun): Promise<void> {
    return new Promise(resolve => run.cancelled.addEventListener("abort", () => resolve()));
}

/** Registers a service call as open; the returned signal is aborted when the drain timeout expires. */
function trackCall(
    shared: ExecutionShared,
    openRequests: Map<string, OpenRequest>,
    context: RequestContext,
): AbortSignal {
    const stopped = new AbortController();
    const stop = () => {
        const nowMs = shared.dependencies.clock.readMonotonicMs();
        const isDrainTimeoutReached = nowMs >= (shared.drainDeadlineMs ?? Number.POSITIVE_INFINITY);
        assertInvariant(
            isDrainTimeoutReached,
            Invariant.NoStreamCutByShutdown,
            `call ${context.requestId} ended before the drain timeout`,
        );
        shared.counts.cutByShutdown++;
        shared.dependencies.admission.cancelAdmission(context.requestId);
        stopped.abort();
    };
    openRequests.set(context.requestId, { stop });
    return stopped.signal;
}

async function startServiceCall(
    shared: ExecutionShared,
    context: RequestContext,
    call: ServiceCall,
    cancelled: AbortSignal,
): Promise<Result<ServiceResponse, Failure>> {
    let answer: Result<ServiceResponse, Failure> | undefined;
    const handleAbort = () => shared.dependencies.admission.cancelAdmission(context.requestId);
    const end = await startTask(`call ${context.requestId}`, function* (owned) {
        cancelled.addEventListener("abort", handleAbort);
        owned.add({ dispose: () => cancelled.removeEventListener("abort", handleAbort) });
        answer = yield* runServiceCall(shared, context, call, cancelled);
    }).ended;
    if (answer !== undefined) {
        return answer.isOk() ? ok(answer.value) : err(answer.error);
    }
    shared.dependencies.admission.finishRequest(context.requestId, 0);
    const failure = end.failure ?? createFailure(FailureKind.TaskFailed, "The call ended without an answer.");
    return err({ ...failure, execution: Execution.Unknown });
}

function createShutdownFailure(): Failure {
    return createFailure(FailureKind.ShuttingDown, "The node is shutting down.", { retryAfterMs: 0 });
}
