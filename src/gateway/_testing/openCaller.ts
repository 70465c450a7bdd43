/**
 * @module A caller for tests that writes raw bytes and keeps its connection open until the node closes it.
 */
import net from "node:net";

/** A caller with one connection. */
export interface RawCaller {
    write(text: string): void;
    /** Gives what was received so far. */
    readReceived(): string;
    /** Stops or resumes reading. */
    setReading(isReading: boolean): void;
    /** Settles when the node has closed the connection: what was received, and whether it was reset. */
    readonly whenClosed: Promise<{ readonly received: string; readonly isReset: boolean }>;
}

/** Opens a connection. */
export function openCaller(port: number, address = "127.0.0.1"): RawCaller {
    const socket = net.connect({ host: address, port });
    const chunks: Buffer[] = [];
    let isReset = false;
    const readReceived = () => Buffer.concat(chunks).toString("latin1");
    socket.on("data", chunk => chunks.push(chunk));
    socket.on("error", () => (isReset = true));
    const whenClosed = new Promise<void>(resolve => socket.once("close", () => resolve()));
    return {
        write: text => void socket.write(text),
        readReceived,
        setReading: isReading => void (isReading ? socket.resume() : socket.pause()),
        whenClosed: whenClosed.then(() => ({ received: readReceived(), isReset })),
    };
}

/** Formats a request to the harness's route. */
export function formatRequest(
    id: string,
    options: { readonly body?: string; readonly bodyBytes?: number } = {},
): string {
    const { body = "", bodyBytes = body.length } = options;
    const head = [
        `${bodyBytes > 0 ? "POST" : "GET"} /a/b HTTP/1.1`,
        "Host: news.example",
        "Authorization: Bearer key-1",
        `Redwinglift-Attempt-Id: ${id}`,
        ...(bodyBytes > 0 ? [`Content-Length: ${bodyBytes}`] : []),
    ];
    return `${head.join("\r\n")}\r\n\r\n${body}`;
}
