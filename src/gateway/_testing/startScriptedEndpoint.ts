/**
 * @module An endpoint on loopback that does to a connection what a test tells it.
 */
import net, { type AddressInfo, type Socket } from "node:net";
import type { Disposable } from "../../base/disposableStore";
import type { HttpTarget } from "../../adapters/_lib/httpTarget";

/** Told of each request: its text, the connection, and how many requests came before it on any connection. */
export type EndpointScript = (request: string, socket: Socket, earlier: number) => void;

/** A running endpoint. */
export interface ScriptedEndpoint extends HttpTarget, Disposable {
    /** The requests received so far, as text. */
    listRequests(): readonly string[];
    countConnections(): number;
}

/**
 * Starts an endpoint. A request counts as received at the end of its head; bodies are expected in the same packet.
 *
 * @param script - What it does with each request
 * @returns Where it listens
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
    return {
        address: "127.0.0.1",
        port: (server.address() as AddressInfo).port,
        listRequests: () => requests,
        countConnections: () => connections,
        dispose: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}

/** Formats an answer with a seal, as an endpoint of the platform sends it. */
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
