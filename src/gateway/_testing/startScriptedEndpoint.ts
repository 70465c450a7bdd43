/**
 * @module An endpoint on loopback for tests that runs a script on the connection of each request.
 */
import net, { type AddressInfo, type Socket } from "node:net";
import type { Disposable } from "../../base/disposableStore";
import type { HttpTarget } from "../../adapters/_lib/httpTarget";

/** Called for each request, with its text, its connection, and the number of earlier requests on all connections. */
export type EndpointScript = (request: string, socket: Socket, earlier: number) => void;

/** A running endpoint. */
export interface ScriptedEndpoint extends HttpTarget, Disposable {
    /** The requests received so far, as text. */
    listRequests(): readonly string[];
    /** Counts the connections accepted so far. */
    countConnections(): number;
    /** Resets all connections and refuses new ones, until it starts again at the same address. */
    crash(backAfterMs: number): void;
}

/**
 * Starts an endpoint. Each chunk of data that contains a request line counts as one request, so that the headers and
 * body of a request must arrive in one chunk.
 *
 * @param script - Called for each request
 * @returns The running endpoint with its address
 * @example
 * const endpoint = await startScriptedEndpoint((_request, socket) => socket.resetAndDestroy());
 */
export async function startScriptedEndpoint(script: EndpointScript): Promise<ScriptedEndpoint> {
    const sockets = new Set<Socket>();
    const requests: string[] = [];
    let connections = 0;
    const server = net.createServer(socket => {
        connections++;
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", data => {
            const text = data.toString("latin1");
            if (text.includes(" HTTP/1.1\r\n")) {
                requests.push(text);
                script(text, socket, requests.length - 1);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    let isDisposed = false;
    return {
        address: "127.0.0.1",
        port,
        listRequests: () => requests,
        countConnections: () => connections,
        crash: backAfterMs => {
            server.close();
            sockets.forEach(socket => socket.resetAndDestroy());
            sockets.clear();
            setTimeout(() => isDisposed || server.listening || server.listen(port, "127.0.0.1"), backAfterMs).unref();
        },
        dispose: () => {
            isDisposed = true;
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}

/** Formats an answer with the response seal, as an endpoint of the platform sends it. */
export function formatAnswer(
    body: string,
    options: {
        readonly status?: string;
        readonly headers?: readonly string[];
        readonly length?: number | "none" | "chunked";
    } = {},
): string {
    const { status = "200 OK", headers = [], length = Buffer.byteLength(body) } = options;
    const framing =
        length === "none" ? [] : length === "chunked" ? ["Transfer-Encoding: chunked"] : [`Content-Length: ${length}`];
    return [`HTTP/1.1 ${status}`, "Redwinglift-Response-Seal: 3e1b.07", ...framing, ...headers, "", body].join("\r\n");
}
