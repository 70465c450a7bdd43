/**
 * @module Executes requests: one js-csp task a request.
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
import { createChatRun } from "./_lib/createChatRun";
import { createReclaimPlanner } from "./_lib/createReclaimPlanner";
import type { ExecutionCounts, ExecutionShared } from "./_lib/executionShared";
import { sendControl } from "./_lib/sendControl";
import { ANSWER_CHANNEL_CAPACITY, DEFAULT_RECLAIM_TERMS, DRAIN_POLL_MS } from "./constants";
import { type AnswerEvent, AnswerEventKind, type ExecutionClient } from "./executionClient";
import type { ExecutionParts } from "./executionParts";
import { runChat } from "./runChat";
import { runServiceCall } from "./runServiceCall";

/** How a shutdown went. */
export interface DrainResult {
    /** Requests that were still running at the bound and were ended visibly. */
    readonly cut: number;
}

/** The running execution of requests. */
export interface ExecutionTask extends ExecutionClient, DumpSource {
    /**
     * Refuses new requests and waits for those in progress, at most `boundMs`. What still runs then is ended with a
     * failure; nothing is cut before. Listeners are closed after this.
     */
    drain(boundMs: number): Promise<DrainResult>;
    /** Counts since the start, for dumps and benches. */
    readCounts(): Readonly<ExecutionCounts>;
}

/** A request in progress, and how a shutdown ends it. */
interface Live {
    readonly stop: () => void;
}

/**
 * Creates the execution of requests.
 *
 * @param parts - Admission, routing, runners, claims and clock
 * @returns The client for the callers' faces and the jobs
 * @example
 * const execution = createExecutionTask(parts);
 * const chat = execution.startChat(context, request);
 */
export function createExecutionTask(parts: ExecutionParts): ExecutionTask {
    const shared = createShared(parts);
    const live = new Map<string, Live>();
    const task: ExecutionTask = {
        name: "execution",
        startChat: (context, chat, options = {}) => {
            const answers = createChannel<AnswerEvent>(ANSWER_CHANNEL_CAPACITY);
            const cancelled = new AbortController();
            const cancel = () => cancelled.abort();
            if (shared.drainUntilMs !== undefined) {
                void refuseChat(answers);
                return { answers, cancel };
            }
            const run = createChatRun(shared, context, chat, answers, cancelled.signal, options.resumedTexts ?? []);
            cancelled.signal.addEventListener("abort", () => stopRun(run, ControlKind.Cancelled));
            live.set(context.requestId, { stop: () => stopRun(run, ControlKind.ShutdownExpired) });
            const ended = startTask(`chat ${context.requestId}`, () => runChat(run)).ended;
            void ended.then(end => finishChat(run, end.failure)).then(() => live.delete(context.requestId));
            return { answers, cancel };
        },
        callService: (context, call, cancelled) => {
            if (shared.drainUntilMs !== undefined) {
                return Promise.resolve(err(createShuttingDown()));
            }
            const stopped = AbortSignal.any([cancelled, trackCall(shared, live, context)]);
            return startServiceCall(shared, context, call, stopped).finally(() => live.delete(context.requestId));
        },
        drain: async boundMs => {
            const { clock } = parts;
            const untilMs = clock.readMonotonicMs() + boundMs;
            shared.drainUntilMs = untilMs;
            while (live.size > 0 && clock.readMonotonicMs() < untilMs) {
                await clock.waitMs(Math.min(DRAIN_POLL_MS, untilMs - clock.readMonotonicMs()));
            }
            const left = [...live.values()];
            left.forEach(request => request.stop());
            return { cut: left.length };
        },
        readCounts: () => ({ ...shared.counts }),
        dumpState: () => ({
            counts: shared.counts,
            open: live.size,
            isDraining: shared.drainUntilMs !== undefined,
            budgets: Object.fromEntries(shared.budgets),
            answerTokens: Object.fromEntries(shared.answerTokens),
        }),
    };
    return task;
}

function createShared(parts: ExecutionParts): ExecutionShared {
    return {
        parts,
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
            clock: parts.clock,
            readTerms: parts.readReclaimTerms ?? (() => DEFAULT_RECLAIM_TERMS),
        }),
        drainUntilMs: undefined,
    };
}

function stopRun(run: ChatRun, kind: ControlKind.Cancelled | ControlKind.ShutdownExpired): void {
    const { admission } = run.shared.parts;
    if (run.attemptNumber === 0) {
        admission.cancelAdmission(run.context.requestId);
    }
    sendControl(run, { kind });
}

async function refuseChat(answers: ChatRun["answers"]): Promise<void> {
    await sendMessage(answers, { kind: AnswerEventKind.Failed, failure: createShuttingDown() });
    closeChannel(answers);
}

/** A task that broke down has not told its caller anything; the caller hears of it here. */
async function finishChat(run: ChatRun, failure: Failure | undefined): Promise<void> {
    if (failure !== undefined) {
        run.shared.parts.reportEvent("chat task failed", { requestId: run.context.requestId, kind: failure.kind });
        const told = { ...failure, execution: Execution.Unknown };
        run.live.forEach(attempt => attempt.generation.cancel());
        run.shared.parts.admission.finishRequest(run.context.requestId, 0);
        await Promise.race([
            sendMessage(run.answers, { kind: AnswerEventKind.Failed, failure: told }),
            waitForAbort(run),
        ]);
    }
    closeChannel(run.answers);
}

function waitForAbort(run: ChatRun): Promise<void> {
    return new Promise(resolve => run.cancelled.addEventListener("abort", () => resolve()));
}

function trackCall(shared: ExecutionShared, live: Map<string, Live>, context: RequestContext): AbortSignal {
    const stopped = new AbortController();
    const stop = () => {
        const nowMs = shared.parts.clock.readMonotonicMs();
        const isBoundReached = nowMs >= (shared.drainUntilMs ?? Number.POSITIVE_INFINITY);
        assertInvariant(isBoundReached, Invariant.NoStreamCutByShutdown, `call ${context.requestId} cut early`);
        shared.counts.cutByShutdown++;
        shared.parts.admission.cancelAdmission(context.requestId);
        stopped.abort();
    };
    live.set(context.requestId, { stop });
    return stopped.signal;
}

async function startServiceCall(
    shared: ExecutionShared,
    context: RequestContext,
    call: ServiceCall,
    cancelled: AbortSignal,
): Promise<Result<ServiceResponse, Failure>> {
    let answer: Result<ServiceResponse, Failure> | undefined;
    const onAbort = () => shared.parts.admission.cancelAdmission(context.requestId);
    const end = await startTask(`call ${context.requestId}`, function* (owned) {
        cancelled.addEventListener("abort", onAbort);
        owned.add({ dispose: () => cancelled.removeEventListener("abort", onAbort) });
        answer = yield* runServiceCall(shared, context, call, cancelled);
    }).ended;
    if (answer !== undefined) {
        return answer.isOk() ? ok(answer.value) : err(answer.error);
    }
    shared.parts.admission.finishRequest(context.requestId, 0);
    const failure = end.failure ?? createFailure(FailureKind.TaskFailed, "The call ended without an answer.");
    return err({ ...failure, execution: Execution.Unknown });
}

function createShuttingDown(): Failure {
    return createFailure(FailureKind.ShuttingDown, "The node is shutting down.", { retryAfterMs: 0 });
}
