/**
 * @module Servers that send what no regular server would.
 */
import net, { type AddressInfo } from "node:net";
import type { Disposable } from "../../../base/disposableStore";
import type { HttpTarget } from "../../_lib/httpTarget";

/**
 * Starts a server that answers the first bytes of each connection with fixed ones.
 *
 * @param parts - What it writes, one part after the other; nothing: it never answers
 * @param options - `endsAfter`: closes the connection after the last part; `repeats`: sends the last part for ever;
 * `pauseMs`: with a pause before each time
 * @returns Where it listens on loopback
 * @example
 * const server = await startRawServer(["HTTP/1.1 200 OK\r\n"]);
 */
export async function startRawServer(
    parts: readonly string[],
    options: { readonly endsAfter?: boolean; readonly repeats?: boolean; readonly pauseMs?: number } = {},
): Promise<HttpTarget & Disposable> {
    const sockets = new Set<net.Socket>();
    const server = net.createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("data", () => {
            parts.forEach(part => socket.write(part));
            if (options.endsAfter === true) {
                socket.end();
            }
            if (options.pauseMs !== undefined) {
                const timer = setInterval(() => socket.write(parts.at(-1) ?? ""), options.pauseMs);
                socket.once("close", () => clearInterval(timer));
                return;
            }
            const repeatLast = () => {
                while (options.repeats === true && !socket.destroyed && socket.write(parts.at(-1) ?? "")) {
                    // The socket has room for more.
                }
            };
            socket.on("drain", repeatLast);
            repeatLast();
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: "127.0.0.1",
        port: (server.address() as AddressInfo).port,
        dispose: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}
