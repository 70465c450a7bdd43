/**
 * @module Which addresses of nodes and endpoints can be used.
 */
import { isIPv4 } from "node:net";

const PORT_MAX = 65_535;

/**
 * Tells whether something can be sent to an address, whatever a datagram or the store says of it.
 *
 * @param target - Address and port
 * @returns True for an IPv4 address with a port
 * @example
 * isSendableAddress({ address: "127.0.0.1", port: 99_999 }); //=> false
 */
export function isSendableAddress(target: { readonly address: string; readonly port: number }): boolean {
    const { address, port } = target;
    return isIPv4(address) && Number.isInteger(port) && port >= 1 && port <= PORT_MAX;
}
