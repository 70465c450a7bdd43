/**
 * @module Relays a stream of events to a caller, even if several endpoints produce it one after the other.
 */
import type { ServerResponse } from "node:http";
import type { EventBatch } from "./createEventSplitter";

/** Status and headers of the answer to the caller, taken from the first endpoint. */
export interface RelayedHead {
    readonly status: number;
    readonly headers: readonly (readonly [string, string])[];
}

/** A stream to a caller. */
export interface StreamRelay {
    /** True once a byte was written to the caller. */
    hasBegun(): boolean;
    /** Gives the id of the last relayed event. */
    readLastEventId(): string | undefined;
    /**
     * Writes events, preceded by the head if nothing was written yet. Gives false, and writes nothing, if they do not
     * continue the events relayed so far.
     */
    relayEvents(head: RelayedHead, batch: EventBatch): boolean;
    /** Ends the answer regularly, so that the caller sees it as complete. */
    endRelay(head: RelayedHead): void;
    /** If the write buffer is full, gives true and calls `resume` once it has drained; otherwise gives false. */
    waitForDrain(resume: () => void): boolean;
}

/**
 * Creates the relay for a response.
 *
 * @param response - The response to the caller; nothing was written to it yet
 * @returns The relay
 * @example
 * relay.relayEvents(head, batch);
 */
export function createStreamRelay(response: ServerResponse): StreamRelay {
    let lastEventId: string | undefined;
    const beginRelay = (head: RelayedHead) => {
        if (!response.headersSent) {
            response.writeHead(head.status, head.headers.flat());
        }
    };
    return {
        hasBegun: () => response.headersSent,
        readLastEventId: () => lastEventId,
        relayEvents: (head, batch) => {
            if (!isConsecutive(lastEventId, batch.firstEventId)) {
                return false;
            }
            beginRelay(head);
            lastEventId = batch.lastEventId ?? lastEventId;
            response.write(batch.bytes);
            return true;
        },
        endRelay: head => {
            beginRelay(head);
            response.end();
        },
        waitForDrain: resume => {
            if (!response.writableNeedDrain) {
                return false;
            }
            response.once("drain", resume);
            return true;
        },
    };
}

/**
 * Tells whether an event may follow another one. Absent ids, and ids that are not integers, can't be compared and count
 * as consecutive.
 */
function isConsecutive(last: string | undefined, next: string | undefined): boolean {
    if (last === undefined || next === undefined) {
        return true;
    }
    const [before, after] = [Number(last), Number(next)];
    return !Number.isInteger(before) || !Number.isInteger(after) || after === before + 1;
}
