/**
 * @module A whole execution over fakes, and the checks that hold for every request whatever has failed.
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
import type { ExecutionParts } from "../executionParts";
import { createFakeFleet, type FakeFleet, type FakeFleetOptions } from "./createFakeFleet";
import { createFakeStore, type FakeStore, type FakeStoreOptions } from "./createFakeStore";
import { listAnswerTexts } from "./openFakeGeneration";

/** An execution over fakes. */
export interface ExecutionWorld {
    readonly clock: ManualClock;
    readonly fleet: FakeFleet;
    readonly store: FakeStore;
    readonly execution: ExecutionTask;
    readonly events: string[];
}

/** What a caller received. */
export interface CollectedAnswer {
    readonly texts: readonly string[];
    readonly usage?: Usage;
    readonly failure?: Failure;
}

/**
 * Creates an execution over a fake fleet and a fake store.
 *
 * @param fleetOptions - Size and faults of the fleet
 * @param storeOptions - Faults of the store
 * @param parts - Parts that replace the fakes
 * @returns The world
 * @example
 * const world = createExecutionWorld({ endpoints: 3 });
 */
export function createExecutionWorld(
    fleetOptions: Partial<FakeFleetOptions> = {},
    storeOptions: Partial<FakeStoreOptions> = {},
    parts: Partial<ExecutionParts> = {},
): ExecutionWorld {
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
        ...parts,
    });
    return { clock, fleet, store, execution, events };
}

/**
 * Builds the context of a request that arrives now.
 *
 * @param world - The world
 * @param requestId - Its id
 * @param changes - What differs from an idempotent request with 5 s to its first token and 60 s to its deadline
 * @returns The context
 * @example
 * buildContext(world, "request-1", { isIdempotent: false, idempotencyKey: "key" });
 */
export function buildContext(
    world: ExecutionWorld,
    requestId: string,
    changes: Partial<RequestContext> = {},
): RequestContext {
    const nowMs = world.clock.readMonotonicMs();
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
 * @param maximumTokens - Most tokens of the answer (default 40)
 * @param content - Its one message
 * @returns The request
 * @example
 * execution.startChat(context, buildChat());
 */
export function buildChat(maximumTokens = 40, content = "Which roads are closed?"): ChatRequest {
    return { model: "chat", messages: [{ role: "user", content }], maximumTokens, sampling: {} };
}

/**
 * Reads an answer to its end and checks that its batches are in order, without gap or repeat, and that exactly one last
 * event ends it.
 *
 * @param chat - The execution
 * @param startOffset - Index of its first token (default 0)
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
 * Checks what must hold of an ended request whatever has failed.
 *
 * @param world - The world
 * @param context - The request
 * @param answer - What its caller received
 * @param maximumTokens - As in its chat request
 * @example
 * assertAnswerHolds(world, context, answer, 40);
 */
export function assertAnswerHolds(
    world: ExecutionWorld,
    context: RequestContext,
    answer: CollectedAnswer,
    maximumTokens = 40,
): void {
    const { record } = world.fleet;
    const whole = listAnswerTexts(context.requestId, maximumTokens);
    assert.deepEqual(answer.texts, whole.slice(0, answer.texts.length), `${context.requestId} got its own tokens`);
    if (answer.failure === undefined) {
        assert.equal(answer.texts.length, whole.length, `${context.requestId} got its whole answer`);
    }
    const sent = record.sent.get(context.requestId) ?? 0;
    if (answer.failure?.execution === Execution.NotRun) {
        assert.equal(sent, 0, `${context.requestId} was told not_run, truly`);
    }
    if (!context.isIdempotent) {
        assert.ok(sent <= 1, `${context.requestId} was sent ${sent} times`);
    }
}

/**
 * Checks that nothing is left over once all requests have ended.
 *
 * @param world - The world
 * @example
 * assertNothingLeft(world);
 */
export function assertNothingLeft(world: ExecutionWorld): void {
    const { record } = world.fleet;
    assert.deepEqual([...record.counted], [], "routing heard the end of every attempt");
    assert.deepEqual([...record.admitted], [], "admission heard the end of every request");
    assert.deepEqual(record.wrongResumes, [], "every resumption continued the delivered text");
    assert.equal((world.execution.dumpState() as { open: number }).open, 0, "no request is open");
}
