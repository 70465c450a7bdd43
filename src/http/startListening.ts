/**
 * @module Starts a server on an address.
 */
import type http from "node:http";

/**
 * Starts listening on an address.
 *
 * @param server - The server
 * @param target - IP address and port; with port 0 the operating system chooses a free port
 * @returns A promise that resolves once the server listens, and rejects if it can't listen on the address
 * @example
 * await startListening(server, { address: "127.0.0.1", port: 0 });
 */
export function startListening(
    server: http.Server,
    target: { readonly address: string; readonly port: number },
): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(target.port, target.address, () => {
            server.off("error", reject);
            resolve();
        });
    });
}
