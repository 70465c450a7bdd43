/**
 * @module The listener that tells the balancer whether this node takes new connections.
 */
import http from "node:http";

const STATUS_READY = 200;
const STATUS_NOT_READY = 503;

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
        response.writeHead(isReady() ? STATUS_READY : STATUS_NOT_READY, { "content-length": 0 });
        response.end();
    });
}
