/**
 * @module The requests that have no final answer yet, by phase, and how those before them ended.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerRequestHead } from "../../ports/forwardingCodec";

/** How far a request without a final answer has got. The values appear in log lines and metrics. */
export enum RequestPhase {
    /** Waits for the end of the answer before it on its connection. */
    Queued = "queued",
    /** Waits until the node has loaded its data after a start. */
    Waiting = "waiting",
    /** Its body is being received. */
    Body = "body",
    /** It was passed to the forwarder, and no byte of an answer was sent to the caller. */
    Forwarded = "forwarded",
    /** A part of its answer was sent to the caller. */
    Answering = "answering",
}

/** How a request ended. The values appear in log lines and metrics. */
export enum RequestEnd {
    /** An endpoint's whole answer was sent. */
    Complete = "complete",
    /** A failure was sent that states that the request was not run. */
    Refused = "refused",
    /** Another failure was sent. */
    Failed = "failed",
    /** The node broke the answer off. */
    Cut = "cut",
    /** Not handled, since the answer before it closed the connection. */
    Dropped = "dropped",
    /** The caller closed the connection, or it broke. */
    Left = "left",
}

/** A request without a final answer. */
export interface OpenRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** What its headers say. */
    readonly head: CallerRequestHead;
    phase: RequestPhase;
    /** Ends the attempts at endpoints, so that the caller gets a failure; present once it was forwarded. */
    abort?: () => void;
    /** What the node has decided; counted once the response is closed. */
    end: RequestEnd | undefined;
}

/** The requests without a final answer. */
export interface OpenRequests {
    /** Adds a request; it is removed, and its end counted, when its response is closed. */
    addRequest(request: IncomingMessage, response: ServerResponse, head: CallerRequestHead): OpenRequest;
    /** Removes a request that is not handled. */
    dropRequest(open: OpenRequest): void;
    list(): readonly OpenRequest[];
    /** Counts the open requests by phase. */
    countPhases(): Readonly<Record<RequestPhase, number>>;
    /** Counts the ended requests by end, since the start. */
    countEnds(): Readonly<Record<RequestEnd, number>>;
}

/**
 * Creates the collection, without requests.
 *
 * @returns The collection
 * @example
 * const open = requests.addRequest(request, response, head);
 * open.phase = RequestPhase.Body;
 */
export function createOpenRequests(): OpenRequests {
    const requests = new Set<OpenRequest>();
    const ends: Record<RequestEnd, number> = { complete: 0, refused: 0, failed: 0, cut: 0, dropped: 0, left: 0 };
    const removeRequest = (open: OpenRequest, end: RequestEnd) => {
        if (requests.delete(open)) {
            ends[end]++;
        }
    };
    return {
        addRequest: (request, response, head) => {
            const open: OpenRequest = { request, response, head, phase: RequestPhase.Queued, end: undefined };
            requests.add(open);
            response.once("close", () => removeRequest(open, decideEnd(open)));
            return open;
        },
        dropRequest: open => removeRequest(open, RequestEnd.Dropped),
        list: () => [...requests],
        countPhases: () => {
            const counts: Record<RequestPhase, number> = { queued: 0, waiting: 0, body: 0, forwarded: 0, answering: 0 };
            requests.forEach(({ response, phase }) => counts[response.headersSent ? RequestPhase.Answering : phase]++);
            return counts;
        },
        countEnds: () => ({ ...ends }),
    };
}

function decideEnd({ response, end }: OpenRequest): RequestEnd {
    if (response.writableFinished) {
        return end ?? RequestEnd.Complete;
    }
    return end === RequestEnd.Cut ? RequestEnd.Cut : RequestEnd.Left;
}
