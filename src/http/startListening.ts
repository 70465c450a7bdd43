/**
 * @module Starts a server on an address.
 */
import type http from "node:http";

/** Where a server listens. */
export interface ListenAddress {
    /** IP address. */
    readonly address: string;
    /** With 0 the operating system chooses a free port. */
    readonly port: number;
}

/**
 * Starts listening on an address. After a rejection the server can be started again.
 *
 * @param server - The server
 * @param target - Its address
 * @returns A promise that resolves once the server listens, and rejects if it can't listen on the address
 * @example
 * await startListening(server, { address: "127.0.0.1", port: 0 });
 */
export function startListening(server: http.Server, target: ListenAddress): Promise<void> {
    return new Promise((resolve, reject) => {
        const handleListening = () => {
            server.off("error", handleError);
            resolve();
        };
        const handleError = (error: Error) => {
            server.off("listening", handleListening);
            reject(error);
        };
        server.once("listening", handleListening);
        server.once("error", handleError);
        server.listen(target.port, target.address);
    });
}
