/**
 * @module The listener that tells the load balancer whether this node accepts new connections.
 */
import http from "node:http";
import { HttpStatus } from "../adapters/_lib/httpStatus";

/**
 * Creates the server, which answers 200 or 503; it does not listen yet.
 *
 * @param isReady - Tells whether the node accepts new connections
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
