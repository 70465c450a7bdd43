/**
 * @module Where an attempt goes.
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
import { findMove } from "./findMove";
import { recordPrefixes } from "./recordPrefixes";
import { recordSent } from "./recordSent";
import type { RoutingState, ServiceState } from "./routingState";

/** What a route depends on besides the state. */
export interface RouteOptions {
    readonly configuration: Configuration;
    readonly random: Random;
    /** Whether this node has braked a version. */
    readonly isBraked: (serviceName: string, version: string) => boolean;
    /** Monotonic milliseconds. */
    readonly nowMs: number;
}

/**
 * Chooses version and endpoint of an attempt and counts the attempt against the endpoint.
 *
 * @param state - The state; changed in place
 * @param query - The attempt
 * @param options - Configuration, randomness, brakes and time
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
    const definition = configuration.services[query.serviceName];
    if (definition === undefined) {
        return err(createFailure(FailureKind.UnknownService, `There is no service ${query.serviceName}.`));
    }
    const move = findMove(configuration, definition);
    const request = { requestId: query.id.requestId, attempt: query.id.attempt };
    const version = chooseVersion(definition, move, request, name => isBraked(definition.name, name));
    const service = state.services.get(query.serviceName);
    // Where the new version has no endpoint that can take the request, the old one takes it: less than the move's share
    // may go to the new version, never more.
    const versions = move !== undefined && version === move.toVersion ? [version, move.fromVersion] : [version];
    const found = service && chooseFirst(versions, name => chooseEndpointOf(state, service, query, name, options));
    if (found === undefined || service === undefined) {
        const message = `No endpoint of ${query.serviceName}, version ${version}, can take the request.`;
        return err(createFailure(FailureKind.NoEndpoint, message, { retryAfterMs: 1_000 }));
    }
    const { endpoint } = found.candidate;
    assertInvariant(!state.leavingIds.has(endpoint.endpointId), Invariant.NoWorkToLeavingEndpoint, endpoint.endpointId);
    const isVersionBraked = isBraked(definition.name, endpoint.version);
    assertInvariant(!isVersionBraked, Invariant.BrakedVersionGetsNothing, `${definition.name}/${endpoint.version}`);
    startAttempt(state, service, query, found, nowMs);
    return ok({ endpoint, estimatedFirstTokenMs: found.estimateMs });
}

function chooseFirst(versions: readonly string[], choose: (version: string) => Choice | undefined): Choice | undefined {
    for (const version of versions) {
        const choice = choose(version);
        if (choice !== undefined) {
            return choice;
        }
    }
    return undefined;
}

function chooseEndpointOf(
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
    recordSent(candidate, uncachedTokens);
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
