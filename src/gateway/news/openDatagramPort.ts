/**
 * @module Keeps a datagram port open, and owns the errors of its socket.
 */
import dgram from "node:dgram";
import type { Disposable } from "../../base/disposableStore";
import type { Log } from "../../base/log/log";

const RETRY_PERIOD_MS = 200;

/** An address for datagrams. */
export interface DatagramAddress {
    readonly address: string;
    readonly port: number;
}

/** Options of a datagram port. */
export interface DatagramPortOptions extends DatagramAddress {
    readonly handleDatagram: (bytes: Buffer, from: DatagramAddress) => void;
    readonly log: Log;
}

/** A datagram port. */
export interface DatagramPort extends Disposable {
    /** Sends a datagram; drops it while the port isn't open. */
    send(bytes: Buffer, target: DatagramAddress): void;
    /** True while the port can't be opened: nothing is sent or received. */
    isDeaf(): boolean;
    /** Tells whether the port is open, and how often it could not be opened. */
    readState(): { readonly isOpen: boolean; readonly failedAttempts: number };
}

/**
 * Opens a datagram port, and tries again while another process holds it or its address isn't up yet.
 *
 * @param options - Address, handler of what arrives, and log
 * @returns The port
 * @example
 * const port = openDatagramPort({ address: "10.1.0.14", port: 7_600, handleDatagram, log });
 */
export function openDatagramPort({ address, port, handleDatagram, log }: DatagramPortOptions): DatagramPort {
    let socket: dgram.Socket | undefined;
    let timer: NodeJS.Timeout | undefined;
    let isOpen = false;
    let isDisposed = false;
    let failedAttempts = 0;

    const handleError = (failed: dgram.Socket, error: Error) => {
        if (isOpen) {
            log.warn("datagram socket failed", { address, port, reason: error.message });
            return;
        }
        if (isDisposed || socket !== failed) {
            return;
        }
        failedAttempts++;
        if (failedAttempts === 1) {
            log.error("datagram port can't be opened", { address, port, reason: error.message });
        }
        socket = undefined;
        failed.close();
        timer = setTimeout(open, RETRY_PERIOD_MS);
    };
    const open = () => {
        const opened = dgram.createSocket("udp4");
        socket = opened;
        opened.on("message", handleDatagram);
        opened.on("error", error => handleError(opened, error));
        opened.on("listening", () => {
            isOpen = true;
            log.info("datagram port opened", { address, port, failedAttempts });
        });
        opened.bind(port, address);
    };
    open();
    return {
        send: (bytes, target) => socket?.send(bytes, target.port, target.address),
        isDeaf: () => failedAttempts > 0 && !isOpen,
        readState: () => ({ isOpen, failedAttempts }),
        dispose: () => {
            isDisposed = true;
            clearTimeout(timer);
            socket?.close();
            socket = undefined;
        },
    };
}
