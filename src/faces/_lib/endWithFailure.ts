/**
 * @module The last step of a handler that failed.
 */
import type { Failure } from "../../base/failure";
import type { ExchangeEnd, HttpExchange } from "../httpExchange";
import { sendFailure } from "../../http/sendFailure";

/**
 * Tells the caller of a failure and gives the end of the exchange.
 *
 * @param exchange - The exchange
 * @param failure - Its failure
 * @param className - The class, once known
 * @returns The end of the exchange
 * @example
 * return endWithFailure(exchange, parsed.error);
 */
export function endWithFailure(exchange: HttpExchange, failure: Failure, className?: string): ExchangeEnd {
    sendFailure(exchange.response, failure, exchange.requestId);
    return { className, failure };
}
