/**
 * @module An execution task with fake dependencies, and checks that must hold for every request under any fault.
 */
import assert from "node:assert/strict";
import { createManualClock, type ManualClock } from "../../../base/createManualClock";
import { receiveMessage } from "../../../base/csp";
import { Execution, type Failure } from "../../../base/failure";
import type { ChatRequest, RequestContext, Usage } from "../../../model/request";
import { createClaimTask } from "../../claims/createClaimTask";
import { createGroupCommitTask } from "../../claims/createGroupCommitTask";
import { createExecutionTask, type ExecutionTask } from "../createExecutionTask";
import { AnswerEventKind, type ChatExecution } from "../executionClient";
import type { ExecutionDependencies } from "../executionDependencies";
import { createFakeFleet, type FakeFleet, type FakeFleetOptions } from "./createFakeFleet";
import { createFakeStore, type FakeStore, type FakeStoreOptions } from "./createFakeStore";
import { listAnswerTexts } from "./openFakeGeneration";

/** An execution task with fake runners, routing, admission and store. */
export interface ExecutionHarness {
    readonly clock: ManualClock;
    readonly fleet: FakeFleet;
    readonly store: FakeStore;
    readonly execution: ExecutionTask;
    /** Names of the reported events. */
    readonly events: string[];
}

/** What a caller received. */
export interface CollectedAnswer {
    readonly texts: readonly string[];
    readonly usage?: Usage;
    readonly failure?: Failure;
}

/**
 * Creates an execution task with a fake fleet and a fake store.
 *
 * @param fleetOptions - Size and faults of the fleet
 * @param storeOptions - Faults of the store
 * @param overrides - Dependencies that replace the fakes
 * @returns The harness
 * @example
 * const harness = createExecutionHarness({ endpoints: 3 });
 */
export function createExecutionHarness(
    fleetOptions: Partial<FakeFleetOptions> = {},
    storeOptions: Partial<FakeStoreOptions> = {},
    overrides: Partial<ExecutionDependencies> = {},
): ExecutionHarness {
    const clock = createManualClock();
    const fleet = createFakeFleet({ clock, endpoints: 4, ...fleetOptions });
    const store = createFakeStore({ clock, ...storeOptions });
    const commits = createGroupCommitTask({ table: store.table, clock });
    const claims = createClaimTask({ nodeId: "node", table: store.table, objects: store.objects, commits, clock });
    const events: string[] = [];
    const execution = createExecutionTask({
        admission: fleet.admission,
        routing: fleet.routing,
        models: fleet.models,
        applications: fleet.applications,
        claims,
        clock,
        reportEvent: name => events.push(name),
        ...overrides,
    });
    return { clock, fleet, store, execution, events };
}

/**
 * Builds the context of a request that arrives now.
 *
 * @param harness - The harness
 * @param requestId - Its id
 * @param changes - Overrides; by default, an idempotent request with 5 s to its first token and 60 s to its deadline
 * @returns The context
 * @example
 * buildContext(harness, "request-1", { isIdempotent: false, idempotencyKey: "key" });
 */
export function buildContext(
    harness: ExecutionHarness,
    requestId: string,
    changes: Partial<RequestContext> = {},
): RequestContext {
    const nowMs = harness.clock.readMonotonicMs();
    return {
        requestId,
        accountName: "account",
        className: `class of ${requestId}`,
        isIdempotent: true,
        acceptedAtMs: nowMs,
        firstTokenDueAtMs: nowMs + 5_000,
        deadlineAtMs: nowMs + 60_000,
        ...changes,
    };
}

/**
 * Builds a chat request.
 *
 * @param maximumTokens - Maximum tokens of the answer (default 40)
 * @param content - Content of its only message
 * @returns The request
 * @example
 * execution.startChat(context, buildChatRequest());
 */
export function buildChatRequest(maximumTokens = 40, content = "Which roads are closed?"): ChatRequest {
    return { model: "chat", messages: [{ role: "user", content }], maximumTokens, sampling: {} };
}

/**
 * Reads an answer to its end and checks that its batches are in order, without gaps or repeats, and that exactly one
 * last event ends it.
 *
 * @param chat - The execution
 * @param startOffset - Index of the first token to receive (default 0)
 * @returns What was received
 * @example
 * const answer = await collectAnswer(execution.startChat(context, chat));
 */
export async function collectAnswer(chat: ChatExecution, startOffset = 0): Promise<CollectedAnswer> {
    const texts: string[] = [];
    let last: CollectedAnswer | undefined;
    for (;;) {
        const event = await receiveMessage(chat.answers);
        if (event === undefined) {
            assert.ok(last !== undefined, "the channel closes after a last event only");
            return last;
        }
        assert.equal(last, undefined, "nothing follows the last event");
        switch (event.kind) {
            case AnswerEventKind.Tokens:
                assert.equal(event.batch.offset, startOffset + texts.length, "batches follow one another");
                texts.push(...event.batch.texts);
                break;
            case AnswerEventKind.Finished:
                last = { texts, usage: event.usage };
                break;
            case AnswerEventKind.Failed:
                last = { texts, failure: event.failure };
                break;
        }
    }
}

/**
 * Checks the invariants of an ended request: its own tokens in order, a true `NotRun`, and at most one execution.
 *
 * @param harness - The harness
 * @param context - The request
 * @param answer - Answer that its caller received
 * @param maximumTokens - Maximum tokens of its chat request
 * @example
 * assertAnswerInvariants(harness, context, answer, 40);
 */
export function assertAnswerInvariants(
    harness: ExecutionHarness,
    context: RequestContext,
    answer: CollectedAnswer,
    maximumTokens = 40,
): void {
    const { record } = harness.fleet;
    const expected = listAnswerTexts(context.requestId, maximumTokens);
    assert.deepEqual(answer.texts, expected.slice(0, answer.texts.length), `${context.requestId} got its own tokens`);
    if (answer.failure === undefined) {
        assert.equal(answer.texts.length, expected.length, `${context.requestId} got its whole answer`);
    }
    const sent = record.sent.get(context.requestId) ?? 0;
    if (answer.failure?.execution === Execution.NotRun) {
        assert.equal(sent, 0, `${context.requestId} reported not_run and was not sent`);
    }
    if (!context.isIdempotent) {
        assert.ok(sent <= 1, `${context.requestId} was sent ${sent} times`);
    }
}

/**
 * Checks that no attempt, admission or request is still open once all requests have ended.
 *
 * @param harness - The harness
 * @example
 * assertNothingPending(harness);
 */
export function assertNothingPending(harness: ExecutionHarness): void {
    const { record } = harness.fleet;
    assert.deepEqual([...record.openAttempts], [], "every attempt was reported to routing as ended");
    assert.deepEqual([...record.admitted], [], "every request was reported to admission as finished");
    assert.deepEqual(record.invalidResumes, [], "every resumed attempt continued the delivered text");
    assert.equal((harness.execution.dumpState() as { open: number }).open, 0, "no request is open");
}
