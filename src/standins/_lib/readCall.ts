/**
 * @module Reads a call to a stand-in.
 */
import type http from "node:http";
import type { Socket } from "node:net";
import { createByteAccumulator } from "../../base/createByteAccumulator";
import { LARGEST_BODY_BYTES, LOOPBACK_ADDRESS } from "../constants";
import type { StandinCall } from "./standinCall";

/**
 * Reads a call with its whole body.
 *
 * @param request - The incoming request
 * @param response - Where its reply will go
 * @param silent - Connections that carry nothing any more
 * @returns The call; `undefined` if its connection is silent, was closed early or sent too much
 * @example
 * const call = await readCall(request, response, silent);
 */
export function readCall(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    silent: WeakSet<Socket>,
): Promise<StandinCall | undefined> {
    const isSilent = () => silent.has(request.socket);
    const body = createByteAccumulator({ bytesMax: LARGEST_BODY_BYTES });
    return new Promise(resolve => {
        request.on("data", (piece: Buffer) => {
            if (!body.append(piece)) {
                request.destroy();
            }
        });
        request.on("error", () => resolve(undefined));
        request.on("close", () => resolve(undefined));
        request.on("end", () => {
            const url = new URL(request.url ?? "/", `http://${LOOPBACK_ADDRESS}`);
            const call: StandinCall = {
                method: request.method ?? "GET",
                path: decodePath(url.pathname),
                query: url.searchParams,
                headers: request.headers,
                body: body.takeBytes(),
                request,
                response,
                isSilent,
            };
            resolve(isSilent() ? undefined : call);
        });
    });
}

function decodePath(path: string): string {
    try {
        return decodeURIComponent(path);
    } catch {
        return path;
    }
}
