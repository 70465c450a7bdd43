/**
 * @module The listener that tells the load balancer whether this node accepts new connections.
 */
import http from "node:http";
import { HttpStatus } from "../../adapters/_lib/httpStatus";
import { FailureOwner, type FailureReporter } from "./createFailureReporter";

/**
 * Creates the server, which answers 200 or 503; it does not listen yet.
 *
 * @param isReady - Tells whether the node accepts new connections; if it throws, the node does not
 * @param reportFailure - Receives what `isReady` throws
 * @returns The server
 * @example
 * await startListening(createReadinessListener(() => true, reportFailure), settings.readiness);
 */
export function createReadinessListener(isReady: () => boolean, reportFailure: FailureReporter): http.Server {
    const checkReady = () => {
        try {
            return isReady();
        } catch (error) {
            reportFailure(FailureOwner.InternalRequest, error);
            return false;
        }
    };
    return http.createServer((request, response) => {
        request.resume();
        response.writeHead(checkReady() ? HttpStatus.Ok : HttpStatus.ServiceUnavailable, { "content-length": 0 });
        response.end();
    });
}
