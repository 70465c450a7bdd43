/**
 * @module Routing an attempt.
 */
import { err, ok, type Result } from "neverthrow";
import { assertInvariant, Invariant } from "../../base/assertInvariant";
import { createFailure } from "../../base/createFailure";
import type { Random } from "../../base/createRandom";
import { type Failure, FailureKind } from "../../base/failure";
import type { Configuration } from "../../model/configuration";
import type { RouteDecision, RouteQuery } from "../../tasks/routing/routingClient";
import { beginTrial } from "./_lib/trial";
import { buildAttemptKey } from "./buildAttemptKey";
import { type Choice, chooseCandidate } from "./chooseCandidate";
import { chooseVersion } from "./chooseVersion";
import { findVersionMove } from "./findVersionMove";
import { recordPrefixes } from "./recordPrefixes";
import { recordAttemptSent } from "./recordAttemptSent";
import type { RoutingState, ServiceState } from "./routingState";

/** Inputs of a routing decision besides the state. */
export interface RouteOptions {
    readonly configuration: Configuration;
    readonly random: Random;
    /** Whether this node has braked a version, that is, stopped sending it requests. */
    readonly isBraked: (serviceName: string, version: string) => boolean;
    /** Monotonic milliseconds. */
    readonly nowMs: number;
}

/**
 * Chooses the version and the endpoint of an attempt and counts the attempt at the endpoint.
 *
 * @param state - The state; changed in place
 * @param query - The attempt
 * @param options - Configuration, random numbers, brakes and time
 * @returns The route, or `UnknownService` or `NoEndpoint`
 * @example
 * decideRoute(state, query, { configuration, random, isBraked, nowMs });
 */
export function decideRoute(
    state: RoutingState,
    query: RouteQuery,
    options: RouteOptions,
): Result<RouteDecision, Failure> {
    const { configuration, isBraked, nowMs } = options;
    const serviceDefinition = configuration.services[query.serviceName];
    if (serviceDefinition === undefined) {
        return err(createFailure(FailureKind.UnknownService, `There is no service ${query.serviceName}.`));
    }
    const move = findVersionMove(configuration, serviceDefinition);
    const request = { requestId: query.id.requestId, attempt: query.id.attempt };
    const version = chooseVersion(serviceDefinition, move, request, name => isBraked(serviceDefinition.name, name));
    const service = state.services.get(query.serviceName);
    // If no endpoint of the new version can take the request, the old version takes it. The new version may receive
    // less than the share of the version move, never more.
    const versions = move !== undefined && version === move.toVersion ? [version, move.fromVersion] : [version];
    const selected =
        service && chooseFirstAvailable(versions, name => chooseEndpoint(state, service, query, name, options));
    if (selected === undefined || service === undefined) {
        const message = `No endpoint of ${query.serviceName}, version ${version}, can take the request.`;
        return err(createFailure(FailureKind.NoEndpoint, message, { retryAfterMs: 1_000 }));
    }
    const { endpoint } = selected.candidate;
    assertInvariant(!state.leavingIds.has(endpoint.endpointId), Invariant.NoWorkToLeavingEndpoint, endpoint.endpointId);
    const isVersionBraked = isBraked(serviceDefinition.name, endpoint.version);
    assertInvariant(
        !isVersionBraked,
        Invariant.BrakedVersionGetsNothing,
        `${serviceDefinition.name}/${endpoint.version}`,
    );
    startAttempt(state, service, query, selected, nowMs);
    return ok({ endpoint, estimatedFirstTokenMs: selected.estimateMs });
}

function chooseFirstAvailable(
    versions: readonly string[],
    choose: (version: string) => Choice | undefined,
): Choice | undefined {
    for (const version of versions) {
        const choice = choose(version);
        if (choice !== undefined) {
            return choice;
        }
    }
    return undefined;
}

function chooseEndpoint(
    state: RoutingState,
    service: ServiceState,
    query: RouteQuery,
    version: string,
    options: RouteOptions,
): Choice | undefined {
    const { configuration, random, isBraked, nowMs } = options;
    if (isBraked(query.serviceName, version)) {
        return undefined;
    }
    const workClass = configuration.classes[query.context.className];
    return chooseCandidate(
        service.candidates,
        {
            ...query,
            version,
            targetMs: workClass?.latencyTargetMs ?? 0,
            remainingMs: query.context.firstTokenDueAtMs - nowMs,
            costCeilingMicros: workClass?.costCeilingMicros ?? Infinity,
        },
        service.index,
        [random.drawFraction(), random.drawFraction()],
        state.scratch,
    );
}

function startAttempt(
    state: RoutingState,
    service: ServiceState,
    query: RouteQuery,
    choice: Choice,
    nowMs: number,
): void {
    const { candidate, estimateMs, uncachedTokens } = choice;
    service.inFlight++;
    recordAttemptSent(candidate, uncachedTokens);
    recordPrefixes(service.index, candidate, query.prefixHashes);
    state.attempts.set(buildAttemptKey(query.id), {
        candidate,
        service,
        route: query.route,
        estimateMs,
        prefillTokens: uncachedTokens,
        hasFirstToken: false,
        isTrial: beginTrial(candidate, query.route),
        sentAtMs: nowMs,
    });
}
