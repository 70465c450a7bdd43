/**
 * @module Builds what admission needs to know of a request.
 */
import type { AdmissionRequest } from "../../decisions/gateway/admission/serviceQueue";
import type { GatewayExchange } from "../callers/exchange";

/** Cost of a generated token, in tokens of a prompt. */
const OUTPUT_TOKEN_COST = 10;

/**
 * Builds it.
 *
 * @param exchange - The request
 * @param usualCost - The cost of a request that states no token counts
 * @param spread - A fraction from 0 to 1, by which retry times are spread
 * @returns The request for the queue
 * @example
 * const request = buildAdmissionRequest(exchange, 400, random.drawFraction());
 */
export function buildAdmissionRequest(exchange: GatewayExchange, usualCost: number, spread: number): AdmissionRequest {
    const { route, receivedAtMs, timeoutAtMs } = exchange;
    const objectiveAtMs = Math.min(timeoutAtMs, route.objectiveMs > 0 ? receivedAtMs + route.objectiveMs : Infinity);
    return {
        rank: exchange.priority,
        account: exchange.account ?? "",
        route: route.name,
        cost: Math.max(1, computeStatedCost(exchange) ?? usualCost),
        bytes: computeHeldBytes(exchange),
        objectiveMs: Math.max(0, objectiveAtMs - receivedAtMs),
        objectiveAtMs,
        spread,
    };
}

/**
 * Computes the cost of a request by its token counts.
 *
 * @param exchange - The request
 * @returns The cost in tokens; `undefined` if the request states none
 * @example
 * computeStatedCost(exchange); //=> 4_000
 */
export function computeStatedCost({ head }: GatewayExchange): number | undefined {
    return head.promptTokens === undefined && head.outputTokensMax === undefined
        ? undefined
        : (head.promptTokens ?? 0) + OUTPUT_TOKEN_COST * (head.outputTokensMax ?? 0);
}

/** Computes the bytes of the body and the headers that are held while a request waits. */
function computeHeldBytes({ body, request }: GatewayExchange): number {
    return request.rawHeaders.reduce((sum, text) => sum + text.length, body.length + (request.url ?? "").length);
}
