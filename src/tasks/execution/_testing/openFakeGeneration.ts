/**
 * @module Token streams of the fake runners.
 */
import { createFailure } from "../../../base/createFailure";
import { closeChannel, createChannel, sendMessage } from "../../../base/csp";
import { Execution, FailureKind } from "../../../base/failure";
import { hashText } from "../../../base/hashText";
import { type AttemptId, FinishReason, type GenerationEvent, GenerationEventKind } from "../../../model/request";
import type { Generation, GenerationRequest } from "../../../ports/modelRunner";
import type { FakeEndpoint, FakeFleetOptions, FleetRecord } from "./createFakeFleet";
import { StreamFault } from "./faults";

/** State shared by the streams of a fleet. */
export interface FakeStreamContext {
    readonly options: FakeFleetOptions;
    readonly record: FleetRecord;
    /** Ids of exported KV caches. */
    readonly caches: ReadonlySet<string>;
}

/**
 * Lists the tokens that every runner generates for a request.
 *
 * @param requestId - The request
 * @param maximumTokens - Maximum tokens of the answer
 * @returns One text per token
 * @example
 * listAnswerTexts("request-1", 40);
 */
export function listAnswerTexts(requestId: string, maximumTokens: number): readonly string[] {
    const length = 1 + (hashText(requestId) % maximumTokens);
    return Array.from({ length }, (_unused, index) => `${requestId}#${index};`);
}

/**
 * Opens a stream that generates the predictable answer, with the fault drawn for the attempt.
 *
 * @param context - Settings and record of the fleet
 * @param fake - The runner
 * @param request - The request
 * @returns The generation
 * @example
 * openFakeGeneration(context, endpoint, request);
 */
export function openFakeGeneration(
    context: FakeStreamContext,
    fake: FakeEndpoint,
    request: GenerationRequest,
): Generation {
    const { options, record } = context;
    const { id } = request;
    const drawn = options.drawStreamFault?.(id.requestId, id.attempt) ?? StreamFault.None;
    const fault = fake.isGone ? StreamFault.Refused : drawn;
    const hasSentBytes = fault !== StreamFault.Refused;
    const events = createChannel<GenerationEvent>(4);
    const state = { isEnded: false };
    const send = async (event: GenerationEvent) => {
        if (!state.isEnded) {
            state.isEnded = event.kind !== GenerationEventKind.Tokens;
            await sendMessage(events, event);
        }
    };
    const breakStream = (execution: Execution) => {
        const failure = createFailure(FailureKind.EndpointFailed, "The connection broke.", { execution });
        return send({ kind: GenerationEventKind.Failed, id, failure });
    };
    const handleGone = () => void breakStream(hasSentBytes ? Execution.Unknown : Execution.NotRun);
    fake.goneListeners.add(handleGone);
    if (hasSentBytes) {
        const prompt = request.chat.messages.at(-1)?.content ?? "";
        record.sent.set(id.requestId, (record.sent.get(id.requestId) ?? 0) + 1);
        record.sentPrompts.set(prompt, (record.sentPrompts.get(prompt) ?? 0) + 1);
        if (fake.isLeaving) {
            record.attemptsAtLeavingEndpoints.push(`${id.requestId}/${id.attempt}`);
        }
    }
    checkResumption(context, request);
    void generateAnswer({ context, request, fault, send, breakStream, state, close: () => closeChannel(events) });
    return {
        events,
        hasSentBytes: () => hasSentBytes,
        cancel: () => {
            state.isEnded = true;
            fake.goneListeners.delete(handleGone);
        },
    };
}

interface FakeStream {
    readonly context: FakeStreamContext;
    readonly request: GenerationRequest;
    readonly fault: StreamFault;
    readonly send: (event: GenerationEvent) => Promise<void>;
    readonly breakStream: (execution: Execution) => Promise<void>;
    readonly state: { readonly isEnded: boolean };
    readonly close: () => void;
}

function checkResumption({ record, caches }: FakeStreamContext, request: GenerationRequest): void {
    const expected = listAnswerTexts(request.id.requestId, request.chat.maximumTokens);
    const isPrefix = request.resumedTexts.every((text, index) => text === expected[index]);
    const hasCache = request.importedCacheId === undefined || caches.has(request.importedCacheId);
    if (!isPrefix || !hasCache) {
        record.invalidResumes.push(`${request.id.requestId}/${request.id.attempt}`);
    }
}

async function generateAnswer(stream: FakeStream): Promise<void> {
    const { context, request, fault, send, breakStream } = stream;
    const { clock, firstTokenMs = 60, tokenGapMs = 20 } = context.options;
    const { id } = request;
    if (fault === StreamFault.Refused) {
        await breakStream(Execution.NotRun);
        return;
    }
    if (fault === StreamFault.RefusedLate) {
        await clock.waitMs(5);
        const failure = createFailure(FailureKind.EndpointRefused, "The engine is full.");
        await send({ kind: GenerationEventKind.Failed, id, failure });
        return;
    }
    await clock.waitMs(fault === StreamFault.Slow ? firstTokenMs * 10 : firstTokenMs);
    if (fault === StreamFault.BrokenBefore) {
        await breakStream(Execution.Unknown);
        return;
    }
    if (fault === StreamFault.SilentBefore) {
        return;
    }
    const expected = listAnswerTexts(id.requestId, request.chat.maximumTokens);
    const faultAt = request.resumedTexts.length + Math.floor((expected.length - request.resumedTexts.length) / 2);
    for (let offset = request.resumedTexts.length; offset < expected.length && !stream.state.isEnded;) {
        const size = 1 + (offset % 3);
        const batch = { offset, texts: expected.slice(offset, offset + size) };
        const isFaulty = offset <= faultAt && faultAt < offset + size;
        const isLast = offset + size >= expected.length;
        if (isFaulty && (await injectFault(stream, batch.texts, offset))) {
            return;
        }
        const isSkipped = (isFaulty && fault === StreamFault.Gap) || (isLast && fault === StreamFault.Short);
        if (!isSkipped) {
            await send({ kind: GenerationEventKind.Tokens, id, batch });
        }
        offset += size;
        await clock.waitMs(tokenGapMs);
    }
    if (fault === StreamFault.BrokenAfter) {
        await breakStream(Execution.Unknown);
        return;
    }
    const usage = { promptTokens: 10, outputTokens: expected.length, cachedTokens: 0 };
    await send({ kind: GenerationEventKind.Finished, id, reason: FinishReason.Stop, usage });
}

/** Injects a fault in the middle of a stream; returns true if the stream ends with it. */
async function injectFault(stream: FakeStream, texts: readonly string[], offset: number): Promise<boolean> {
    const { request, send } = stream;
    const tokens = (id: AttemptId, start: number, batch: readonly string[]): GenerationEvent => ({
        kind: GenerationEventKind.Tokens,
        id,
        batch: { offset: start, texts: batch },
    });
    const { id } = request;
    const expected = listAnswerTexts(id.requestId, request.chat.maximumTokens);
    const overlapOffset = Math.max(request.resumedTexts.length, offset - 2);
    switch (stream.fault) {
        case StreamFault.BrokenDuring:
            await stream.breakStream(Execution.Unknown);
            return true;
        case StreamFault.SilentDuring:
            return true;
        case StreamFault.Closed:
            stream.close();
            return true;
        case StreamFault.Repeated:
            await send(tokens(id, offset, texts));
            return false;
        case StreamFault.Overlap:
            await send(tokens(id, overlapOffset, expected.slice(overlapOffset, offset + 1)));
            return false;
        case StreamFault.Contradicting:
            if (overlapOffset === offset) {
                await stream.breakStream(Execution.Unknown); // no token has been delivered that could be contradicted
                return true;
            }
            await send(tokens(id, overlapOffset, ["not the same"]));
            return false;
        case StreamFault.Foreign:
            await send(tokens({ requestId: "other", attempt: id.attempt }, offset, ["not yours"]));
            return false;
        case StreamFault.Late:
            await send(tokens({ ...id, attempt: id.attempt - 1 }, offset, ["too late"]));
            return false;
        default:
            return false;
    }
}
