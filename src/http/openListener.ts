/**
 * @module Opens the listener of a server for the life of its process.
 */
import type { AddressInfo } from "node:net";
import { FailureError } from "../base/failureError";
import type { ListenerSupervision } from "./retryListening";
import { startListening } from "./startListening";
import { type ListenerTarget, superviseListener } from "./superviseListener";

/**
 * Opens a listener.
 *
 * @param target - The server and its address
 * @param supervision - How long the address is tried; default: once, and nothing owns the errors of the server
 * @returns The port it listens on
 * @throws {FailureError} `AddressUnavailable` or `ShuttingDown`, if the supervision ends without success
 * @example
 * const port = await openListener({ name: "callers", server, address, port: 0 }, supervision);
 */
export async function openListener(target: ListenerTarget, supervision?: ListenerSupervision): Promise<number> {
    if (supervision === undefined) {
        await startListening(target.server, target);
    } else {
        const started = await superviseListener(target, supervision).whenStarted;
        if (started.isErr()) {
            throw new FailureError(started.error);
        }
    }
    return (target.server.address() as AddressInfo).port;
}
