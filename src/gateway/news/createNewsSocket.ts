/**
 * @module The datagram socket of the news between nodes.
 */
import type { Log } from "../../base/log/log";
import type { NodeIdentity } from "../../decisions/relays/news";
import { FailureOwner, type FailureReporter } from "../process/createFailureReporter";
import { type DatagramPort, openDatagramPort } from "./openDatagramPort";

/** Address and port of a node. */
type NodeAddress = Pick<NodeIdentity, "address" | "port">;

/** The address to listen on, the handler of datagrams, and dependencies. */
export interface NewsSocketOptions {
    readonly self: NodeAddress;
    readonly handleMessage: (bytes: Buffer, from: NodeAddress) => void;
    readonly log: Log;
    readonly reportFailure: FailureReporter;
}

/**
 * Opens the socket. An error of the handler concerns one datagram only, and one that can't be sent is reported and lost.
 *
 * @param options - Its address, the handler and dependencies
 * @returns The socket
 * @example
 * const socket = createNewsSocket({ self, handleMessage, log, reportFailure });
 */
export function createNewsSocket({ self, handleMessage, log, reportFailure }: NewsSocketOptions): DatagramPort {
    const handleDatagram = (bytes: Buffer, from: NodeAddress) => {
        try {
            handleMessage(bytes, from);
        } catch (error) {
            reportFailure(FailureOwner.News, error, { from: from.address });
        }
    };
    const datagrams = openDatagramPort({ address: self.address, port: self.port, handleDatagram, log });
    return {
        ...datagrams,
        send: (bytes, to) => {
            try {
                datagrams.send(bytes, to);
            } catch (error) {
                reportFailure(FailureOwner.News, error, { to: `${to.address}:${to.port}` });
            }
        },
    };
}
