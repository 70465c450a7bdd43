/**
 * @module Splits a stream of server-sent events into whole events.
 */
import { createByteAccumulator } from "../../base/createByteAccumulator";

const LF = 0x0a;
const CR = 0x0d;
/** Largest event. */
const EVENT_BYTES_MAX = 1_048_576;
const EVENT_FIELD = /^(?:data|id)(?::|\r?$)/m;

/** Whole events, byte for byte as they were received. */
export interface EventBatch {
    readonly bytes: Buffer;
    /** False if there are only comments, which some servers send while they have no event. */
    readonly hasEvent: boolean;
    /** Id of the last event in the batch that has one. */
    readonly lastEventId: string | undefined;
    /** Id of the first event in the batch that has one. */
    readonly firstEventId: string | undefined;
}

/** Splits one stream into events. */
export interface EventSplitter {
    /** Adds received bytes; gives the events that are now whole, or `undefined` if there are none. */
    push(chunk: Buffer): EventBatch | undefined;
    /** Counts the bytes after the last whole event. */
    countUnfinishedBytes(): number;
    /** True if an event is larger than any that an endpoint may send; the stream must be given up. */
    isOverfull(): boolean;
    /** Removes and gives the bytes after the last whole event. */
    takeRemainder(): Buffer;
}

/**
 * Creates a splitter.
 *
 * @returns The splitter, with an empty buffer
 * @example
 * const batch = splitter.push(chunk);
 */
export function createEventSplitter(): EventSplitter {
    const rest = createByteAccumulator();
    return {
        push: chunk => {
            const searchedBytes = rest.countBytes();
            if (searchedBytes === 0) {
                const end = findEventsEnd(chunk, 0);
                rest.append(chunk.subarray(end));
                return end === 0 ? undefined : describeEvents(chunk.subarray(0, end));
            }
            rest.append(chunk);
            const end = findEventsEnd(rest.readBytes(), searchedBytes);
            return end === 0 ? undefined : describeEvents(rest.takeBytes(end));
        },
        countUnfinishedBytes: () => rest.countBytes(),
        isOverfull: () => rest.countBytes() > EVENT_BYTES_MAX,
        takeRemainder: () => rest.takeBytes(),
    };
}

/** Finds the end of the last empty line, which ends an event, at or after an index; 0 if there is none. */
function findEventsEnd(bytes: Buffer, from: number): number {
    for (let index = bytes.length - 1; index >= from; index--) {
        if (bytes[index] === LF && isLineStart(bytes, bytes[index - 1] === CR ? index - 1 : index)) {
            return index + 1;
        }
    }
    return 0;
}

function isLineStart(bytes: Buffer, index: number): boolean {
    return index === 0 || bytes[index - 1] === LF;
}

/** Finds the event ids in a batch. */
function describeEvents(bytes: Buffer): EventBatch {
    const text = bytes.toString("latin1");
    const ids = [...text.matchAll(/^id: ?(.*?)\r?$/gm)].map(match => match[1] ?? "");
    return { bytes, hasEvent: EVENT_FIELD.test(text), firstEventId: ids[0], lastEventId: ids.at(-1) };
}
