/**
 * @module Sends JSON responses.
 */
import type { ServerResponse } from "node:http";

/**
 * Sends a complete JSON response.
 *
 * @param response - The response to send; nothing is sent if its headers were already sent or it was destroyed
 * @param status - HTTP status
 * @param body - A JSON-compatible value
 * @param headers - Additional headers
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
