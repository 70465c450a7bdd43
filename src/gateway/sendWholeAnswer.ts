/**
 * @module Sends an answer that was received whole to the caller.
 */
import type { GatewayExchange } from "./exchange";
import type { WholeAnswer } from "./sendAttempt";

/**
 * Sends a whole answer.
 *
 * @param exchange - The request of the caller with its response
 * @param answer - The answer of the endpoint
 * @example
 * sendWholeAnswer(exchange, result.answer);
 */
export function sendWholeAnswer({ response }: GatewayExchange, answer: WholeAnswer): void {
    response.writeHead(answer.status, [...answer.headers.flat(), "Content-Length", String(answer.body.length)]);
    response.end(answer.body);
}
