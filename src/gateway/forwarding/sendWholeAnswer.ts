/**
 * @module Sends an answer that was received whole to the caller.
 */
import { hasBody } from "../../adapters/_lib/hasBody";
import { HttpStatus } from "../../adapters/_lib/httpStatus";
import type { GatewayExchange } from "../callers/exchange";
import type { WholeAnswer } from "./sendAttempt";

/**
 * Sends a whole answer.
 *
 * @param exchange - The request of the caller with its response
 * @param answer - The answer of the endpoint
 * @example
 * sendWholeAnswer(exchange, result.answer);
 */
export function sendWholeAnswer({ request, response }: GatewayExchange, answer: WholeAnswer): void {
    const length = hasBody(answer.status, request.method ?? "GET") ? answer.body.length : findStatedLength(answer);
    const lengthHeader = length === undefined ? [] : ["Content-Length", String(length)];
    response.writeHead(answer.status, [...answer.headers.flat(), ...lengthHeader]);
    response.end(answer.body);
}

/** Finds the length that an answer without a body states for the one that another request would get. */
function findStatedLength({ status, statedBytes }: WholeAnswer): number | undefined {
    return status === HttpStatus.NoContent ? undefined : statedBytes;
}
