/**
 * @module The datagram socket of the news between nodes.
 */
import dgram from "node:dgram";
import type { Disposable } from "../base/disposableStore";
import type { Log } from "../base/log/log";
import type { NodeIdentity } from "../decisions/relays/news";
import { FailureOwner, type FailureReporter } from "./createFailureReporter";

/** Address and port of a node. */
type NodeAddress = Pick<NodeIdentity, "address" | "port">;

/** The address to listen on, the handler of datagrams, and dependencies. */
export interface NewsSocketOptions {
    readonly self: NodeAddress;
    readonly handleMessage: (bytes: Buffer, from: NodeAddress) => void;
    readonly log: Log;
    readonly reportFailure: FailureReporter;
}

/** A socket for datagrams. */
export interface NewsSocket extends Disposable {
    /** Sends a datagram; one that can't be sent is reported and lost, like one that is lost on the way. */
    send(bytes: Buffer, to: NodeAddress): void;
}

/**
 * Opens the socket. An error of the handler concerns one datagram only.
 *
 * @param options - Its address, the handler and dependencies
 * @returns The socket
 * @example
 * const socket = createNewsSocket({ self, handleMessage, log, reportFailure });
 */
export function createNewsSocket({ self, handleMessage, log, reportFailure }: NewsSocketOptions): NewsSocket {
    const socket = dgram.createSocket("udp4");
    socket.on("message", (bytes, from) => {
        try {
            handleMessage(bytes, from);
        } catch (error) {
            reportFailure(FailureOwner.News, error, { from: from.address });
        }
    });
    socket.on("error", error => log.warn("datagram socket failed", { reason: error.message }));
    socket.bind(self.port, self.address);
    return {
        send: (bytes, { address, port }) => {
            try {
                socket.send(bytes, port, address);
            } catch (error) {
                reportFailure(FailureOwner.News, error, { to: `${address}:${port}` });
            }
        },
        dispose: () => void socket.close(),
    };
}
