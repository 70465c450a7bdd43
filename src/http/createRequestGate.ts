/**
 * @module Passes the received bytes of a connection to Node's parser request by request.
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { findHeadEnd } from "./findHeadEnd";
import { readContentLength } from "./readContentLength";

/** Largest piece of a body that nobody reads yet: Node stops the connection once it holds as much of a body. */
const UNREAD_PIECE_BYTES = 16_384;

/** How a gate is kept. */
export interface RequestGateOptions {
    /** Open requests of the connection at which no further one is read. */
    readonly openRequestsMax: number;
    /** Called when reading stops with this many bytes read ahead, and with 0 when it goes on. */
    readonly handleHeld: (readAheadBytes: number) => void;
}

/** The gate of one connection. */
export interface RequestGate {
    /** Records a request whose head was parsed. */
    beginRequest(request: IncomingMessage): void;
    /** Records that the response to a request is closed. */
    endRequest(): void;
}

/** The request that was parsed last. */
interface LastRequest {
    readonly request: IncomingMessage;
    /** Bytes of its body that have not been passed on; `undefined` if it states no length. */
    bodyBytesLeft: number | undefined;
}

/**
 * Installs a gate on a connection that Node's HTTP server has just taken. Without it the parser makes a request and a
 * response of each head in a received chunk, which are thousands. At the limit the rest of the chunk goes back to the
 * socket, which isn't read until a response is closed. The body of a request that waits behind another one is read once
 * its handler reads it, or once it is the only open request.
 *
 * @param socket - The connection, without received bytes
 * @param options - How the gate is kept
 * @returns The gate
 * @example
 * server.on("connection", socket => createRequestGate(socket, { openRequestsMax: 4, handleHeld }));
 */
export function createRequestGate(socket: Socket, options: RequestGateOptions): RequestGate {
    const { openRequestsMax, handleHeld } = options;
    const [parseBytes] = socket.listeners("data");
    const pause = socket.pause.bind(socket);
    const resume = socket.resume.bind(socket);
    let openRequests = 0;
    let last: LastRequest | undefined;
    let isHeld = false;
    /** True if the connection is to be read once it isn't held any more. */
    let isWanted = false;

    const isInBody = () => last?.request.complete === false;
    const isFull = () =>
        isInBody() ? openRequests > 1 && last?.request.readableFlowing !== true : openRequests >= openRequestsMax;
    /** False once another listener has taken the place of the parser. */
    const isParsed = () => !socket.destroyed && socket.listeners("data").includes(handleData);

    const findPieceBytes = (bytes: Buffer): number => {
        const left = isInBody() ? last?.bodyBytesLeft : undefined;
        if (left === undefined || left <= 0) {
            return findHeadEnd(bytes);
        }
        const isRead = last?.request.readableFlowing === true;
        return Math.min(bytes.length, left, isRead ? bytes.length : UNREAD_PIECE_BYTES);
    };
    const parsePiece = (piece: Buffer) => {
        const before = last;
        if (before?.bodyBytesLeft !== undefined && isInBody()) {
            before.bodyBytesLeft -= piece.length;
        }
        parseBytes?.call(socket, piece);
    };
    /** What comes after the last response is read and dropped: a connection closed with unread bytes would be reset. */
    const dropRest = () => {
        socket.off("data", handleData);
        socket.on("data", () => undefined);
        isWanted = true;
        startReading();
    };
    const stopReading = (rest: Buffer) => {
        isHeld = true;
        isWanted = !socket.isPaused();
        pause();
        handleHeld(rest.length);
    };
    const handleData = (received: Buffer) => {
        let rest = received;
        while (rest.length > 0 && isParsed() && !socket.isPaused() && !isFull()) {
            const bytes = findPieceBytes(rest);
            parsePiece(rest.subarray(0, bytes));
            rest = rest.subarray(bytes);
        }
        if (rest.length === 0 || !isParsed()) {
            return;
        }
        if (isFull()) {
            if (socket.writableFinished) {
                dropRest();
                return;
            }
            stopReading(rest);
        }
        if (!socket.destroyed) {
            // A small rest would keep the memory of the whole chunk.
            socket.unshift(rest.length * 2 < rest.buffer.byteLength ? Buffer.from(rest) : rest);
        }
    };
    const startReading = () => {
        if (!isHeld || (isParsed() && isFull())) {
            return;
        }
        isHeld = false;
        handleHeld(0);
        if (isWanted) {
            resume();
        }
    };
    /** Not at once: a caller whose requests are answered at once would keep the loop from all others. */
    const scheduleReading = () => {
        if (isHeld) {
            setImmediate(startReading);
        }
    };
    const replaceMethod = (method: "pause" | "resume", call: () => void) => {
        const replacement = () => {
            isWanted = method === "resume";
            if (!isHeld || method === "pause") {
                call();
            } else {
                scheduleReading();
            }
            return socket;
        };
        Object.defineProperty(socket, method, { value: replacement, configurable: true, writable: true });
    };

    replaceMethod("pause", pause);
    replaceMethod("resume", resume);
    if (parseBytes !== undefined) {
        socket.off("data", parseBytes as (bytes: Buffer) => void);
    }
    socket.on("data", handleData);
    socket.once("close", () => isHeld && handleHeld(0));
    socket.once("finish", () => isHeld && dropRest());
    return {
        beginRequest: request => {
            openRequests++;
            last = { request, bodyBytesLeft: readContentLength(request.headers) };
        },
        endRequest: () => {
            openRequests--;
            scheduleReading();
        },
    };
}
