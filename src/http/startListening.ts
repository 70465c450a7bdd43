/**
 * @module Binding a listener to its address.
 */
import type http from "node:http";

/**
 * Starts to listen.
 *
 * @param server - The server
 * @param target - IP number and port; port 0 lets the system choose
 * @returns A promise that rejects if the address can't be listened on
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
