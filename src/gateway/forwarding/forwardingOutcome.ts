/**
 * @module How a forwarded request ends, and the failures of those that end without an answer.
 */
import { createFailure } from "../../base/createFailure";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import { computeQuotaRetryMs } from "../../decisions/gateway/computeQuotaRetryMs";
import { AttemptOutcome } from "../../decisions/gateway/decideNextAction";
import type { PlacementBar } from "../../decisions/gateway/filterPlaceable";
import type { GatewayAccount } from "../../model/gateway";
import { RETRY_AFTER_MS } from "../constants";
import type { StreamRelay } from "./createStreamRelay";
import type { AttemptResult } from "./sendAttempt";

/** How a request ended. */
export type ForwardingOutcome =
    | { readonly isRelayed: true }
    /** The failure must be sent to the caller. */
    | { readonly isRelayed: false; readonly failure: Failure }
    /** The connection must be closed: the caller has left, or has received a part of the answer. */
    | { readonly isRelayed: false; readonly failure: undefined };

/** What a request without an answer has come to. */
interface UnansweredState {
    readonly relay: Pick<StreamRelay, "hasBegun">;
    /** Attempts that may have been executed. */
    readonly executions: number;
}

/** The failure of a request that an error inside the node ended before it was sent on. */
export const NODE_FAILURE = createFailure(FailureKind.NodeFailed, "An error inside the node ended the request.", {
    retryAfterMs: RETRY_AFTER_MS,
});
/** The failure of a request that an error inside the node ended after a byte of it can have reached an endpoint. */
export const LATE_NODE_FAILURE = createFailure(
    FailureKind.OutcomeUnknown,
    "An error inside the node ended the request.",
    { execution: Execution.Unknown },
);

/** Creates the failure of a request that the quota of its account doesn't admit; `retryMs` if a better time is known. */
export function createQuotaFailure(account: GatewayAccount, amount: number, retryMs?: number): Failure {
    return createFailure(FailureKind.QuotaExceeded, "The account's quota is used up.", {
        retryAfterMs: retryMs ?? computeQuotaRetryMs(account, amount),
    });
}

/** Short: by the time that a node refuses requests since it stops, new connections lead to other nodes. */
const SHUTTING_DOWN_RETRY_MS = 20;
/** The failure of a request that a node which stops would not end in time. */
export const SHUTTING_DOWN_FAILURE = createFailure(FailureKind.ShuttingDown, "The node is about to stop.", {
    retryAfterMs: SHUTTING_DOWN_RETRY_MS,
});
/** The failure of a request that no endpoint took. */
export const NO_ENDPOINT_FAILURE = createNoEndpointFailure(RETRY_AFTER_MS);

function createNoEndpointFailure(retryAfterMs: number, bar?: PlacementBar): Failure {
    const message = bar === undefined ? "No endpoint took the request." : `No endpoint may get the request: ${bar}.`;
    return createFailure(FailureKind.NoEndpoint, message, { retryAfterMs });
}

/** Describes the failure of a request that may have been executed, by its last attempt. */
export function describeFailure(result: AttemptResult): Failure {
    if (result.end === AttemptOutcome.Unsendable) {
        return createFailure(FailureKind.InvalidRequest, "The path or a header can't be sent on.");
    }
    const kind = result.end === AttemptOutcome.TimedOut ? FailureKind.EndpointSilent : FailureKind.OutcomeUnknown;
    return createFailure(kind, `The attempt ended without an answer: ${result.reason}.`, {
        execution: Execution.Unknown,
    });
}

/** Describes the end of a request by an error inside the node; `mayHaveRun` is true if a byte of it can have been sent. */
export function describeNodeFailure(relay: StreamRelay, mayHaveRun: boolean): ForwardingOutcome {
    if (relay.hasBegun()) {
        return { isRelayed: false, failure: undefined };
    }
    return { isRelayed: false, failure: mayHaveRun ? LATE_NODE_FAILURE : NODE_FAILURE };
}

/**
 * Describes the end if no endpoint is left to try: the request was not executed unless an earlier attempt may have
 * been. `waitMs` is the time until an endpoint may take one; infinite if that is unknown. `bar` tells why their place
 * leaves all endpoints out, if it does.
 */
export function describeWithoutEndpoint(state: UnansweredState, waitMs: number, bar?: PlacementBar): ForwardingOutcome {
    if (state.relay.hasBegun()) {
        return { isRelayed: false, failure: undefined };
    }
    const failure =
        state.executions === 0
            ? createNoEndpointFailure(Number.isFinite(waitMs) ? Math.max(RETRY_AFTER_MS, waitMs) : RETRY_AFTER_MS, bar)
            : createFailure(FailureKind.OutcomeUnknown, "No other endpoint is left to try.", {
                  execution: Execution.Unknown,
              });
    return { isRelayed: false, failure };
}
