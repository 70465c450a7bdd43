/**
 * @module The log line of a request whose answer was relayed.
 */
import type { GatewayExchange } from "./exchange";
import type { GatewayComponents } from "../gatewayComponents";

/**
 * Logs a request whose answer was relayed.
 *
 * @param components - Log and clock
 * @param exchange - The request
 * @example
 * logSuccess(components, exchange);
 */
export function logSuccess({ log, clock }: Pick<GatewayComponents, "log" | "clock">, exchange: GatewayExchange): void {
    log.info("request relayed", {
        requestId: exchange.head.requestId,
        route: exchange.route.name,
        service: exchange.service,
        durationMs: Math.round(clock.readMonotonicMs() - exchange.receivedAtMs),
        configurationVersion: exchange.configurationVersion,
    });
}
