/**
 * @module Turns the server-sent events of one generation into events of the port.
 */
import { createParser } from "eventsource-parser";
import { type AttemptId, FinishReason, type TokenBatch, type Usage } from "../../model/request";
import { LARGEST_STREAM_EVENT_BYTES } from "../constants";
import { parseChunk } from "./parseChunk";

/** How an answer ended. */
export interface AnswerEnd {
    readonly reason: FinishReason;
    readonly usage: Usage;
}

/** What reading can come to. */
export interface ChunkHandlers {
    /** Called for each event that was received whole, and for each comment, which engines send while they have none. */
    readonly handleSignOfLife: () => void;
    readonly handleTokens: (id: AttemptId, batch: TokenBatch) => void;
    /** Called at the end of the stream, with how the answer ended if it said so under the request's own identity. */
    readonly handleEnd: (end: AnswerEnd | undefined) => void;
    /** Called with a sentence about what can't be read; nothing must be fed after it. */
    readonly handleUnreadable: (message: string) => void;
}

const END_OF_STREAM = "[DONE]";
const NO_USAGE: Usage = { promptTokens: 0, outputTokens: 0, cachedTokens: 0 };

/**
 * Creates the reader of one generation's stream.
 *
 * @param id - The request's own identity; chunks without one count as its own
 * @param firstOffset - Index of the first token that is awaited
 * @param handlers - What is called while text is fed
 * @returns A function that is fed the stream's text as it arrives
 * @example
 * const feedText = createChunkReader(id, 0, handlers);
 * feedText('data: {"choices":[{"delta":{"content":" word"}}]}\n\n');
 */
export function createChunkReader(id: AttemptId, firstOffset: number, handlers: ChunkHandlers): (text: string) => void {
    let nextOffset = firstOffset;
    let reason: FinishReason | undefined;
    let usage = NO_USAGE;
    const isOwn = (other: AttemptId) => other.requestId === id.requestId && other.attempt === id.attempt;

    const readChunk = (text: string) => {
        const chunk = parseChunk(text, nextOffset);
        if (chunk === undefined) {
            handlers.handleUnreadable("The engine sent a chunk that can't be read.");
            return;
        }
        const chunkId = chunk.id ?? id;
        if (chunk.batch !== undefined) {
            handlers.handleTokens(chunkId, chunk.batch);
        }
        if (isOwn(chunkId)) {
            nextOffset = chunk.batch === undefined ? nextOffset : chunk.batch.offset + chunk.batch.texts.length;
            reason = chunk.finishReason === undefined ? reason : convertFinishReason(chunk.finishReason);
            usage = chunk.usage ?? usage;
        }
    };
    const parser = createParser({
        maxBufferSize: LARGEST_STREAM_EVENT_BYTES,
        onEvent: event => {
            handlers.handleSignOfLife();
            if (event.data === END_OF_STREAM) {
                handlers.handleEnd(reason === undefined ? undefined : { reason, usage });
            } else {
                readChunk(event.data);
            }
        },
        onComment: handlers.handleSignOfLife,
        onError: error => {
            if (error.type === "max-buffer-size-exceeded") {
                handlers.handleUnreadable("The engine sent an event that is too large.");
            }
        },
    });
    return text => parser.feed(text);
}

function convertFinishReason(reason: string): FinishReason {
    return reason === "length" ? FinishReason.Length : FinishReason.Stop;
}
