/**
 * @module What decides whether a request may be sent on now, waits or is refused.
 */
import type { DumpSource } from "../../base/dump";
import type { Failure } from "../../base/failure";
import { RefusalReason } from "../../decisions/gateway/admission/serviceQueue";
import type { ResponseHead } from "../../ports/forwardingCodec";
import type { GatewayExchange } from "../callers/exchange";

/** What became of a request at nearly full endpoints. The values appear in log lines and metrics. */
export const AdmissionDecision = {
    ...RefusalReason,
    /** It started at its arrival. */
    Started: "started",
    /** It began to wait; how the wait ended is counted as well. */
    Waited: "waited",
    /** It started after a wait. */
    StartedLater: "started_later",
    /** Its caller left while it waited. */
    Left: "left",
    /** Its time was over while it waited. */
    TimedOut: "timed_out",
    /** The node began to stop. */
    Stopped: "stopped",
    /** After its wait the configuration no longer admitted it, or only elsewhere. */
    Revoked: "revoked",
} as const;
/** One of these decisions. */
export type AdmissionDecision = (typeof AdmissionDecision)[keyof typeof AdmissionDecision];

/** The permission of a request to run at the endpoints of its service. No function of it ever throws. */
export interface Seat {
    /** Records that the first part of its response arrived. */
    recordFirstPart(): void;
    /** Records what the head of an endpoint's answer says of its load. */
    recordAnswer(answer: ResponseHead): void;
    /** Gives the seat back, once. */
    finish(end: SeatEnd): void;
}

/** How a request with a seat ended. */
export interface SeatEnd {
    /** True if an attempt at an endpoint was made. */
    readonly wasSent: boolean;
    /** True if the caller got an endpoint's response. */
    readonly isRelayed: boolean;
}

/** A seat, or why the request gets none; it has not run then. */
export type RoomDecision = { readonly seat: Seat } | { readonly failure: Failure };

/** Admission at this node, for all services. */
export interface ServiceAdmission extends DumpSource {
    /**
     * Waits until a request may be sent to an endpoint. Resolves at once, with a seat, while the endpoints of its service
     * aren't nearly full or report no pace, and after an error in the admission. `ended` ends the wait.
     */
    waitForRoom(exchange: GatewayExchange, ended: AbortSignal): Promise<RoomDecision>;
    /** Gives the recent arrivals in ten seconds, by service, where endpoints report a pace. */
    readArrivals(): Readonly<Record<string, number>>;
    /** Refuses the waiting requests since the node stops; from then on none waits. */
    beginStop(): void;
}
