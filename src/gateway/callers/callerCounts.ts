/**
 * @module The numbers that show what a gateway does for its callers.
 */
import type { ConnectionCounts } from "./createCallerConnections";
import type { RequestEnd, RequestPhase } from "./createOpenRequests";

/** Numbers of the callers' connections and of the open requests by phase, and of the requests that have ended. */
export interface CallerCounts extends ConnectionCounts {
    readonly phases: Readonly<Record<RequestPhase, number>>;
    readonly ends: Readonly<Record<RequestEnd, number>>;
}
