/**
 * @module Whole JSON responses.
 */
import type { ServerResponse } from "node:http";

/**
 * Sends a whole JSON response.
 *
 * @param response - Where to; nothing is sent if its headers are out already
 * @param status - HTTP status
 * @param body - Any JSON-compatible value
 * @param headers - Further headers
 * @example
 * sendJson(response, 200, { object: "list", data: [] });
 */
export function sendJson(
    response: ServerResponse,
    status: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const text = JSON.stringify(body);
    response.writeHead(status, {
        "content-type": "application/json; charset=utf-8",
        "content-length": Buffer.byteLength(text),
        ...headers,
    });
    response.end(text);
}
