/**
 * @module Admits requests by their target and account: what they match in the configuration in force.
 */
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";
import { findRoute } from "../../decisions/gateway/routeTable";
import type { GatewayAccount } from "../../model/gateway";
import { RETRY_AFTER_MS } from "../constants";
import type { GatewayComponents } from "../gatewayComponents";
import type { ConfigurationView } from "../tables/createConfigurationHolder";
import type { AdmittedRequest } from "./buildExchange";

/** Subtracted from `revokeMs`, for the time between the check of a key and the sending of the request. */
const REVOKE_MARGIN_MS = 250;
const UNREADABLE_ROUTE_FAILURE = createFailure(
    FailureKind.NoEndpoint,
    "The configuration of the route can't be read.",
    { retryAfterMs: RETRY_AFTER_MS },
);

/** What a request is for, and whose it is. */
export interface AdmissionTarget {
    /** The Host header; its port is ignored. */
    readonly host: string;
    /** The request target: path and query. */
    readonly target: string;
    /** True if the request shows a key. */
    readonly hasKey: boolean;
    /** Finds the account that the request belongs to. */
    readonly findAccount: (view: ConfigurationView) => GatewayAccount | undefined;
}

/** Gives what a request matches by the configuration in force, or why it is refused. Changes nothing. */
export type TargetAdmission = (target: AdmissionTarget) => AdmittedRequest | Failure;

/**
 * Creates the admission.
 *
 * @param components - The settings and the configuration in force
 * @returns The admission
 * @example
 * const admitted = admitTarget({ host, target: "/a/b", hasKey: true, findAccount });
 */
export function createTargetAdmission({
    settings,
    configuration,
}: Pick<GatewayComponents, "settings" | "configuration">): TargetAdmission {
    /** Refuses a request if the store last confirmed the keys too long ago: one of them may have been revoked since. */
    const checkConfirmation = (): Failure | undefined =>
        configuration.computeAgeMs() > settings.bounds.revokeMs - REVOKE_MARGIN_MS
            ? createFailure(FailureKind.StoreUnavailable, "The keys in force can't be confirmed.", {
                  retryAfterMs: RETRY_AFTER_MS,
              })
            : undefined;

    return ({ host, target, hasKey, findAccount }) => {
        const view = configuration.readCurrent();
        if (view === undefined) {
            return createFailure(FailureKind.StoreUnavailable, "No configuration is known yet.", {
                retryAfterMs: RETRY_AFTER_MS,
            });
        }
        const route = findRoute(view.routes, host, target);
        if (route === undefined) {
            return createFailure(FailureKind.NotFound, "No route matches the host and path.");
        }
        if (route.isUnreadable === true) {
            return UNREADABLE_ROUTE_FAILURE;
        }
        // Without a list of accounts no key is needed, but one that is sent can only be a revoked or an unknown one.
        const needsNoKey = view.configuration.accounts === undefined && !hasKey;
        if (route.isAnonymous || needsNoKey) {
            return { route, account: undefined, view };
        }
        const stale = checkConfirmation();
        if (stale !== undefined) {
            return stale;
        }
        const account = findAccount(view);
        return account === undefined
            ? createFailure(FailureKind.Unauthenticated, "The key is not known.")
            : { route, account, view };
    };
}
