/**
 * @module The state of a request while it is forwarded.
 */
import type { PlacementRequest } from "../../decisions/gateway/chooseEndpoint";
import type { StreamRelay } from "./createStreamRelay";
import type { GatewayExchange } from "../callers/exchange";
import type { FollowedRequest } from "../quarantine/buildFollowedRequest";
import type { Seat } from "./serviceAdmission";
import type { AttemptResult } from "./sendAttempt";

/** How an attempt ended, with what else is known at its end about the answer and the endpoint. */
export interface EndedAttempt {
    readonly result: AttemptResult;
    /** True if the request may have crashed the endpoint and must not be repeated. */
    readonly mayHaveCrashed: boolean;
    /** Time since the first part of the answer arrived; absent if none did. */
    readonly answerAgeMs: number | undefined;
    /** Connections of this node to the endpoint that broke about now; 0 if this attempt's did not. */
    readonly breaksTogether: number;
    readonly stillInFlight: number;
}

/** The state of one request while it is forwarded. */
export interface ForwardingState {
    readonly exchange: GatewayExchange;
    readonly request: PlacementRequest;
    /** The request as the quarantine of prompt parts sees it. */
    readonly followed: FollowedRequest;
    readonly relay: StreamRelay;
    readonly ended: AbortSignal;
    /** Ids of the endpoints that an attempt was made at. */
    readonly triedEndpoints: Set<string>;
    /** The permission to run at the endpoints of its service; absent before it was given. */
    seat: Seat | undefined;
    /** Attempts that may have been executed. */
    executions: number;
    /** All attempts. */
    sends: number;
    /** True while it isn't known of the present attempt whether it may have been executed. */
    isSending: boolean;
    /** True while the attempt is a try of a suspected prompt part, which is neither given up nor repeated. */
    isCareful: boolean;
    /** True if the next attempt was charged to the retry budget when the one before it was given up. */
    isRetryCharged: boolean;
    /** True once the request was counted in the usage of its account. */
    isUsageRecorded: boolean;
}
