/**
 * @module The listener that tells the balancer whether this node takes new connections.
 */
import http from "node:http";
import { HttpStatus } from "../adapters/_lib/httpStatus";

/**
 * Creates the listener; it does not listen yet.
 *
 * @param isReady - Tells whether new connections are wanted
 * @returns The server
 * @example
 * await startListening(createReadinessListener(() => true), settings.readiness);
 */
export function createReadinessListener(isReady: () => boolean): http.Server {
    return http.createServer((request, response) => {
        request.resume();
        response.writeHead(isReady() ? HttpStatus.Ok : HttpStatus.ServiceUnavailable, { "content-length": 0 });
        response.end();
    });
}
