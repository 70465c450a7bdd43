/**
 * @module Admits requests by their heads: the route and the account that they match.
 */
import type { IncomingMessage } from "node:http";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";
import { findRoute } from "../../decisions/gateway/routeTable";
import type { CallerRequestHead } from "../../ports/forwardingCodec";
import { RETRY_AFTER_MS } from "../constants";
import type { GatewayComponents } from "../gatewayComponents";
import type { AdmittedRequest } from "./buildExchange";

/** Subtracted from `revokeMs`, for the time between the check of a key and the sending of the request. */
const REVOKE_MARGIN_MS = 250;
const UNREADABLE_ROUTE_FAILURE = createFailure(
    FailureKind.NoEndpoint,
    "The configuration of the route can't be read.",
    { retryAfterMs: RETRY_AFTER_MS },
);

/** Gives what a request matches by the configuration in force, or why it is refused. */
export type HeadAdmission = (request: IncomingMessage, head: CallerRequestHead) => AdmittedRequest | Failure;

/**
 * Creates the admission.
 *
 * @param components - The settings and the configuration in force
 * @returns The admission
 * @example
 * const admitted = admitHead(request, head);
 */
export function createHeadAdmission({
    settings,
    configuration,
}: Pick<GatewayComponents, "settings" | "configuration">): HeadAdmission {
    /** Refuses a request if the store last confirmed the keys too long ago: one of them may have been revoked since. */
    const checkConfirmation = (): Failure | undefined =>
        configuration.computeAgeMs() > settings.bounds.revokeMs - REVOKE_MARGIN_MS
            ? createFailure(FailureKind.StoreUnavailable, "The keys in force can't be confirmed.", {
                  retryAfterMs: RETRY_AFTER_MS,
              })
            : undefined;

    return (request, head) => {
        const view = configuration.readCurrent();
        if (view === undefined) {
            return createFailure(FailureKind.StoreUnavailable, "No configuration is known yet.", {
                retryAfterMs: RETRY_AFTER_MS,
            });
        }
        const route = findRoute(view.routes, request.headers.host ?? "", request.url ?? "/");
        if (route === undefined) {
            return createFailure(FailureKind.NotFound, "No route matches the host and path.");
        }
        if (route.isUnreadable === true) {
            return UNREADABLE_ROUTE_FAILURE;
        }
        // Without a list of accounts no key is needed, but one that is sent can only be a revoked or an unknown one.
        const needsNoKey = view.configuration.accounts === undefined && head.key === undefined;
        if (route.isAnonymous || needsNoKey) {
            return { route, account: undefined, view };
        }
        const stale = checkConfirmation();
        if (stale !== undefined) {
            return stale;
        }
        const account = head.key === undefined ? undefined : view.accountsByKey.get(head.key);
        return account === undefined
            ? createFailure(FailureKind.Unauthenticated, "The key is not known.")
            : { route, account, view };
    };
}
