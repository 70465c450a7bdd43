/**
 * @module Builds the exchange of a request that passed the checks.
 */
import type { Random } from "../../base/random";
import { resolveHomeRegions } from "../../decisions/gateway/resolveHomeRegions";
import type { GatewayAccount, GatewayRoute } from "../../model/gateway";
import { computeRequestTimes } from "./computeRequestTimes";
import type { ConfigurationView } from "../tables/createConfigurationHolder";
import type { GatewayExchange } from "./exchange";

/** The route and account that a request matched, and the configuration by which it did. */
export interface AdmittedRequest {
    readonly route: GatewayRoute;
    readonly account: GatewayAccount | undefined;
    readonly view: ConfigurationView;
}

/** What was received of the request, and where its answer goes. */
export type ReceivedRequest = Pick<
    GatewayExchange,
    "request" | "response" | "head" | "receivedAtMs" | "body" | "answerMemory"
>;

/**
 * Builds the exchange, and chooses one of the route's services by weight.
 *
 * @param admitted - What the request matched
 * @param received - What was received
 * @param random - Draws the service
 * @returns The exchange
 * @example
 * const exchange = buildExchange(admitted, { request, response, head, receivedAtMs, body, answerMemory }, random);
 */
export function buildExchange(admitted: AdmittedRequest, received: ReceivedRequest, random: Random): GatewayExchange {
    const { route, account, view } = admitted;
    return {
        ...received,
        ...computeRequestTimes(route, received.head, received.receivedAtMs),
        route,
        service: chooseService(route, random.drawFraction()),
        account: account?.name,
        priority: account?.priority ?? route.priority,
        homeRegions: resolveHomeRegions(route.homeRegions, account?.homeRegions),
        configurationVersion: view.configuration.version,
    };
}

/**
 * Lists the chance of each service to be chosen by `buildExchange`.
 *
 * @param route - The route
 * @returns Probabilities from 0 to 1 by the name of the service
 * @example
 * listServiceChances(route).get("chat"); //=> 0.9
 */
export function listServiceChances({ targets }: Pick<GatewayRoute, "targets">): ReadonlyMap<string, number> {
    const total = targets.reduce((sum, { weight }) => sum + weight, 0);
    const chances = new Map<string, number>();
    targets.forEach(({ service, weight }, index) => {
        const ofLast = index === targets.length - 1 ? 1 : 0;
        chances.set(service, (chances.get(service) ?? 0) + (total > 0 ? weight / total : ofLast));
    });
    return chances;
}

/** Chooses one of the route's services by weight. `fraction` is a random number from 0 to 1. */
function chooseService(route: GatewayRoute, fraction: number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remainingWeight = fraction * total;
    for (const target of route.targets) {
        remainingWeight -= target.weight;
        if (remainingWeight < 0) {
            return target.service;
        }
    }
    return route.targets.at(-1)?.service ?? "";
}
