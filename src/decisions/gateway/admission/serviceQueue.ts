/**
 * @module The requests for one service that a node has not sent to an endpoint yet, and what is decided of them.
 */

/** What admission needs to know of a request. */
export interface AdmissionRequest {
    /** 0 is the most urgent. */
    readonly rank: number;
    /** Requests of one account share its part of the capacity; anonymous requests count as one account. */
    readonly account: string;
    /** Name of the route, by which response times are estimated. */
    readonly route: string;
    /** Cost in tokens, at least 1. */
    readonly cost: number;
    /** Bytes that it holds while it waits. */
    readonly bytes: number;
    /** Time within which its response counts as on time; all of its time if the route has no objective. */
    readonly objectiveMs: number;
    /** Monotonic time until which its response counts as on time. */
    readonly objectiveAtMs: number;
    /** Spreads the retry times of refused requests: a fraction from 0 to 1 that differs between requests. */
    readonly spread: number;
}

/** What this node may use of a service's endpoints now. */
export interface NodeSeats {
    /** True if the endpoints are nearly full; otherwise a request starts at once if none waits. */
    readonly isNearFull: boolean;
    /** Requests that this node may run at once. */
    readonly seats: number;
    /** Requests that it runs. */
    readonly running: number;
    /** Free slots at all endpoints together, as far as this node knows. */
    readonly free: number;
}

/** Why a request is refused. */
export enum RefusalReason {
    /** It can't be on time, or no longer. */
    Late = "late",
    /** More urgent requests take the whole capacity. */
    Rank = "rank",
    /** The bound in requests or bytes is reached. */
    Full = "full",
}

/** A refusal; the request has not run. */
export interface AdmissionRefusal {
    readonly reason: RefusalReason;
    /** Time after which an equal request would probably start in time. */
    readonly retryAfterMs: number;
}

/** A waiting request. */
export interface WaitingEntry {
    readonly request: AdmissionRequest;
    readonly queuedAtMs: number;
}

/** A waiting request that is refused. */
export interface RefusedEntry extends AdmissionRefusal {
    readonly entry: WaitingEntry;
}

/** What becomes of an arriving request. */
export type ArrivalDecision =
    | { readonly kind: "start" }
    | { readonly kind: "refuse"; readonly refusal: AdmissionRefusal }
    /** It waits; `displaced` is refused to make room for it. */
    | { readonly kind: "wait"; readonly entry: WaitingEntry; readonly displaced: RefusedEntry | undefined };

/** Bounds of a queue. */
export interface QueueBounds {
    readonly waitingMax: number;
    readonly bytesMax: number;
}

/** The queue of one service. */
export interface ServiceQueue {
    /** Decides whether an arriving request starts, waits or is refused. */
    decideArrival(request: AdmissionRequest, seats: NodeSeats, nowMs: number): ArrivalDecision;
    /** Takes the waiting request that starts next; `undefined` if none may start now. */
    takeNext(seats: NodeSeats, nowMs: number): WaitingEntry | undefined;
    /** Removes the waiting requests that became late, in order to refuse them. */
    dropLate(seats: NodeSeats, nowMs: number): readonly RefusedEntry[];
    /** Removes a request that waits no longer. */
    removeEntry(entry: WaitingEntry): void;
    /** Records the time from the start of a request to the first part of its response. */
    recordFirstPart(route: string, milliseconds: number): void;
    /** Records the time for which a request that has ended held its seat. */
    recordEnd(milliseconds: number): void;
    countWaiting(): number;
    countBytes(): number;
}
