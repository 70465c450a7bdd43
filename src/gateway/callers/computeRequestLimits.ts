/**
 * @module What a server of a gateway holds at most for requests that are sent ahead and responses that are not read.
 */
import type { RequestLimits } from "../../http/installRequestLimits";
import { WHOLE_ANSWER_BYTES_MAX } from "../constants";

/** Open requests of a caller's connection at which no further one is read. */
const CALLER_OPEN_REQUESTS = 4;
/** Requests of other nodes, load balancers and metrics readers come one at a time. */
const INTERNAL_OPEN_REQUESTS = 1;
/** Shares of the memory of the process. */
const READ_AHEAD_SHARE = 0.0625;
/** More than the share of whole answers (`createBodyMemory`): there is room for refusals and the ends of streams. */
const UNREAD_SHARE = 0.1875;
/** The budget of whole answers is exceeded by one in each of its two parts, and by one that is exempt. */
const ANSWERS_OVER_BUDGET = 3;
/** Each of the three servers inside the system. Rows are whole tables, which many nodes may read after a start. */
const INTERNAL_READ_AHEAD_SHARE = 0.015625;
const INTERNAL_UNREAD_SHARE = 0.09375;
/** A server has at least this, so that a few connections with one large response or chunk don't close each other. */
const BYTES_MIN = 1_048_576;

/**
 * Computes the limits of the server for callers.
 *
 * @param memoryBytesMax - Memory that the process may use
 * @returns The limits
 * @example
 * installRequestLimits(server, computeRequestLimits(settings.memoryBytesMax));
 */
export function computeRequestLimits(memoryBytesMax: number): RequestLimits {
    return {
        openRequestsMax: CALLER_OPEN_REQUESTS,
        readAheadBytesMax: Math.max(BYTES_MIN, memoryBytesMax * READ_AHEAD_SHARE),
        unreadBytesMax: memoryBytesMax * UNREAD_SHARE + ANSWERS_OVER_BUDGET * WHOLE_ANSWER_BYTES_MAX,
    };
}

/** Computes the limits of each server inside the system: smaller shares, and one request at a time. */
export function computeInternalRequestLimits(memoryBytesMax: number): RequestLimits {
    return {
        openRequestsMax: INTERNAL_OPEN_REQUESTS,
        readAheadBytesMax: Math.max(BYTES_MIN, memoryBytesMax * INTERNAL_READ_AHEAD_SHARE),
        unreadBytesMax: Math.max(BYTES_MIN, memoryBytesMax * INTERNAL_UNREAD_SHARE),
    };
}
