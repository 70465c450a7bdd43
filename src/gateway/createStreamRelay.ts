/**
 * @module Relays a stream of events to a caller, across the endpoints that produce it.
 */
import type { ServerResponse } from "node:http";
import type { EventBatch } from "./createEventSplitter";

/** Head of the answer that the caller gets; that of the first endpoint. */
export interface RelayedHead {
    readonly status: number;
    readonly headers: readonly (readonly [string, string])[];
}

/** A stream towards a caller. */
export interface StreamRelay {
    /** True once a byte was written to the caller. */
    hasBegun(): boolean;
    /** Id of the last event that was relayed. */
    readLastEventId(): string | undefined;
    /**
     * Writes events; the head goes before the first. Gives false, and writes nothing, if they don't follow what was
     * relayed before.
     */
    relayEvents(head: RelayedHead, batch: EventBatch): boolean;
    /** Ends the answer so that it is complete. */
    endRelay(head: RelayedHead): void;
    /** Calls back once the caller can take more. */
    waitForDrain(resume: () => void): boolean;
}

/**
 * Creates the relay for a response.
 *
 * @param response - The caller's response; nothing was written to it
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

/** Tells whether an event may follow another one. Ids that aren't numbers can't be compared. */
function isConsecutive(last: string | undefined, next: string | undefined): boolean {
    if (last === undefined || next === undefined) {
        return true;
    }
    const [before, after] = [Number(last), Number(next)];
    return !Number.isInteger(before) || !Number.isInteger(after) || after === before + 1;
}
